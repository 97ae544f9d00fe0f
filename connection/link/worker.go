package link

import "sync/atomic"

// maxIdleWorkers is the maximum number of idle workers of a workerPool.
const maxIdleWorkers = 256

// workers serves the accepted streams of all links of the process.
var workers = newWorkerPool(func(s *Stream) { s.link.runHandler(s) })

// workerPool runs the handler of each accepted stream on a goroutine. It reuses up
// to maxIdleWorkers goroutines, whose stacks have already grown.
type workerPool struct {
	streams chan *Stream
	serve   func(*Stream)
	idle    atomic.Int32
}

func newWorkerPool(serve func(*Stream)) *workerPool {
	return &workerPool{streams: make(chan *Stream), serve: serve}
}

// run serves s on an idle worker or a new one. It does not block.
func (p *workerPool) run(s *Stream) {
	select {
	case p.streams <- s:
	default:
		go p.work(s)
	}
}

func (p *workerPool) work(s *Stream) {
	for {
		p.serve(s)
		if p.idle.Add(1) > maxIdleWorkers {
			p.idle.Add(-1)
			return
		}
		s = <-p.streams
		p.idle.Add(-1)
	}
}
