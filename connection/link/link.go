package link

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// closeFlushTimeout is how long Close waits for queued frames to be written.
const closeFlushTimeout = time.Second

// sequenceStep separates the stream numbers of the two sides of a link: the
// dialling side uses odd numbers, the accepting side even ones.
const sequenceStep = 2

// processSequence numbers the streams that the process opens on all its links, so
// that a stream number is unique within the incarnation.
var processSequence atomic.Uint64

// Link is a connection to a peer. Its methods may be called concurrently.
type Link struct {
	config    Config
	transport transport
	peer      Identity
	agreed    agreement
	// peerMaxFrameBytes, peerWindowBytes and peerMaxStreams are the limits announced
	// by the peer. The window is capped at maxWindowBytes, the others at the limits of
	// config.
	peerMaxFrameBytes, peerWindowBytes, peerMaxStreams int
	// dialled is set if this side dialled the link.
	dialled                                   bool
	localIncarnationHash, peerIncarnationHash uint64
	queue                                     *sendQueue
	// startHandler starts the handler of an accepted stream without blocking.
	startHandler func(*Stream)
	heartbeat    heartbeat
	peerVersion  atomic.Uint64

	// openMu ensures that open frames are queued in the order of their stream numbers.
	openMu sync.Mutex

	// streamsMu guards the fields below.
	streamsMu sync.Mutex
	// streams holds the live streams: those that have not failed, whose directions
	// have not both ended and whose handler, if any, has not returned.
	streams map[streamKey]*Stream
	// opened counts the live streams opened by this side, accepted counts the streams
	// of the peer whose handlers have not returned.
	opened, accepted int
	// highestPeerSequence is the highest stream number in an open frame of the peer.
	highestPeerSequence uint64
	// err is why the link ended.
	err error

	// done is closed when the link has ended, closing when Close is called.
	done       chan struct{}
	closing    chan struct{}
	closeOnce  sync.Once
	writerDone chan struct{}
	// onDone, if not nil, is called once when the link has ended.
	onDone func()
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// streamKey identifies a stream by the fields Opener and Sequence of its frames.
type streamKey struct {
	opener   uint64
	sequence uint64
}

func newLink(config Config, t transport, remote hello, dialled bool) *Link {
	l := &Link{
		config:               config,
		transport:            t,
		peer:                 remote.identity(),
		peerMaxFrameBytes:    clampToInt(remote.MaxFrameBytes, config.MaxFrameBytes),
		peerWindowBytes:      clampToInt(remote.StreamWindowBytes, maxWindowBytes),
		peerMaxStreams:       clampToInt(remote.MaxStreams, config.MaxStreams),
		dialled:              dialled,
		localIncarnationHash: incarnationHash(config.Identity.Incarnation),
		peerIncarnationHash:  incarnationHash(remote.Incarnation),
		queue:                newSendQueue(config.SendQueueBytes, config.Version),
		streams:              make(map[streamKey]*Stream),
		done:                 make(chan struct{}),
		closing:              make(chan struct{}),
		writerDone:           make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.startHandler = workers.run
	return l
}

// maxWindowBytes is the maximum stream window accepted from a peer.
const maxWindowBytes = 64 << 20

func clampToInt(value uint64, limit int) int {
	if value > uint64(limit) {
		return limit
	}
	return int(value)
}

// start starts the reader, the writer and the heartbeat.
func (l *Link) start() {
	l.config.Counters.LinksOpened.Add(1)
	l.config.OnEstablished(l)
	l.startHeartbeat()
	go l.writeLoop()
	go l.readLoop()
}

// Peer returns the identity of the peer.
func (l *Link) Peer() Identity { return l.peer }

// PeerVersion returns the highest configuration version received from the peer.
func (l *Link) PeerVersion() uint64 { return l.peerVersion.Load() }

// RoundTrip returns the smoothed round-trip time, 0 before the first pong.
func (l *Link) RoundTrip() time.Duration { return l.heartbeat.roundTrip() }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err returns why the link ended, or nil while it is open.
func (l *Link) Err() error {
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	return l.err
}

// Close waits up to 1 s for queued frames to be written, then ends the link and
// fails its streams.
func (l *Link) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.writerDone:
	case <-l.config.Clock.After(closeFlushTimeout):
	}
	l.fail(ErrClosed)
	return nil
}

// Send queues a one-way message. It does not block: if the queue is full, it drops
// the message and returns ErrSendQueueFull.
func (l *Link) Send(kind uint16, body any) error {
	encoded, err := Marshal(body)
	if err != nil {
		return err
	}
	f := frame{Kind: frameMessage, Value: uint64(kind), Head: encoded}
	if err := l.checkSize(&f); err != nil {
		return err
	}
	ok, err := l.queue.tryPut(&f)
	if err != nil {
		return l.lostError(err)
	}
	if !ok {
		l.config.Counters.DroppedMessages.Add(1)
		return ErrSendQueueFull
	}
	return nil
}

// checkSize checks a frame to be sent against the peer's limit.
func (l *Link) checkSize(f *frame) error {
	if size := f.maxEncodedBytes(); size > l.peerMaxFrameBytes {
		return &FrameTooLargeError{Bytes: size, Limit: l.peerMaxFrameBytes}
	}
	return nil
}

// lostError returns a LinkLostError whose cause is why the link ended, or err if
// the link has not ended yet.
func (l *Link) lostError(err error) error {
	if cause := l.Err(); cause != nil {
		err = cause
	}
	return &LinkLostError{Cause: err}
}

// fail ends the link; every live stream fails with a LinkLostError. Only the first
// call has an effect.
func (l *Link) fail(cause error) {
	l.streamsMu.Lock()
	if l.err != nil {
		l.streamsMu.Unlock()
		return
	}
	l.err = cause
	live := l.streams
	l.streams = make(map[streamKey]*Stream)
	l.streamsMu.Unlock()

	close(l.done)
	l.queue.close()
	l.heartbeat.stop()
	l.cancel(cause)
	_ = l.transport.close()
	l.config.OnLost(l)
	for _, s := range live {
		s.fail(&LinkLostError{Cause: cause}, keepUnread)
	}
	l.config.Counters.LinksLost.Add(1)
	if l.onDone != nil {
		l.onDone()
	}
}

// writeLoop writes queued batches until the link ends.
func (l *Link) writeLoop() {
	defer close(l.writerDone)
	var batches []*bytes.Buffer
	for {
		var frames uint64
		batches, frames = l.queue.take(batches[:0])
		if len(batches) == 0 {
			if !l.waitForBatch() {
				return
			}
			continue
		}
		l.config.Counters.FramesSent.Add(frames)
		if err := l.writeBatches(batches); err != nil {
			l.fail(err)
			return
		}
	}
}

// waitForBatch blocks until batches may have been queued. It returns false when the
// link has ended, or when it is closing and nothing is left to write.
func (l *Link) waitForBatch() bool {
	select {
	case <-l.queue.batchQueued:
		return true
	default:
	}
	select {
	case <-l.queue.batchQueued:
		return true
	case <-l.closing:
		return false
	case <-l.done:
		return false
	}
}

func (l *Link) writeBatches(batches []*bytes.Buffer) error {
	for i, batch := range batches {
		if err := l.transport.writeMessage(batch.Bytes()); err != nil {
			return err
		}
		l.config.Counters.MessagesSent.Add(1)
		l.config.Counters.BytesSent.Add(uint64(batch.Len()))
		releaseBuffer(batch)
		batches[i] = nil
	}
	return nil
}
