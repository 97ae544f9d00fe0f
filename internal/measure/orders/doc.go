// Package orders measures the load that exactly-once orders put on the platform:
// record writes per order at several rates, the rate at which the platform's write
// limit is reached, and how fast orders are refused while the table is unavailable.
//
// The studies run the production recorders and coordinators of four entries in real
// time, with an in-process agent and the platform stand-in with its write limit.
package orders
