// Package placement decides which ranks of a lock-step group hold which experts
// and how each expert's tokens are split among its replicas.
//
// Decisions are pure functions: loads, speeds, the current map and the time are
// arguments. Improve changes the current map by a few weight moves and by new
// token splits, which move no weights; Pack builds a map from scratch; Repair
// makes a map valid again after ranks were lost and reloads only the lost
// experts. ImproveEqualShare serves groups whose replicas of an expert take equal
// shares of its tokens.
//
// Telemetry turns the reports of ranks, which may arrive late, twice or not at
// all, into loads and speeds. Budget limits when a group may move weights.
package placement
