package soak

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// TestDaysKeepPromises plays short days with fixed seeds. The longer runs are started by hand
// (verbenaseam soak --seeds 50).
func TestDaysKeepPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts programs")
	}
	binaries := t.TempDir()
	require.NoError(t, Build(binaries))
	for name, day := range map[string]Day{
		"seed 1": DrawDay(1, 5*time.Second), "seed 2": DrawDay(2, 5*time.Second), "stops, seed 1": DrawStopDay(1, 5*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Log(day)
			result, err := Run(t.Context(), Config{Day: day, Entries: 3, Targets: 4, Binaries: binaries, Directory: t.TempDir()})
			require.NoError(t, err)
			require.Empty(t, result.Violations)
			for _, kind := range []requestKind{lookup, order, chat} {
				require.Positive(t, result.Outcomes[string(kind)][Served], kind)
			}
		})
	}
}

func TestDayIsDeterminedByItsSeed(t *testing.T) {
	require.Equal(t, DrawStopDay(7, time.Minute), DrawStopDay(7, time.Minute))
	first, again, other := DrawDay(7, time.Minute), DrawDay(7, time.Minute), DrawDay(8, time.Minute)
	require.Equal(t, first, again)
	require.NotEqual(t, first.Faults, other.Faults)
	kinds := map[FaultKind]bool{}
	for _, fault := range DrawDay(1, 10*time.Minute).Faults {
		kinds[fault.Kind] = true
	}
	for seed := range uint64(10) {
		for _, fault := range DrawDay(seed, time.Minute).Faults {
			kinds[fault.Kind] = true
		}
	}
	require.Len(t, kinds, len(faultKinds)+len(noticeKinds)+1, "every kind occurs in long days")
}

// TestBrokenPromisesAreFound guards against checks that cannot fail.
func TestBrokenPromisesAreFound(t *testing.T) {
	run := func(sent attempt) standin.ExecutedRequest {
		return standin.ExecutedRequest{
			AttemptID: sent.id, Method: http.MethodPost, Path: sent.path, Body: requestBody, Organisation: standin.Organisation,
		}
	}
	for desc, test := range map[string]struct {
		promise Promise
		breaks  func(*records)
	}{
		"order runs twice": {OrderRunsOnce, func(r *records) {
			sent := r.begin(order, paths[order], 0)
			r.checkExecuted([]standin.ExecutedRequest{run(sent), run(sent)})
		}},
		"refused order runs": {RefusalIsTrue, func(r *records) {
			sent := r.begin(order, paths[order], 0)
			r.refusedAsNotRun(sent, http.StatusServiceUnavailable)
			r.checkExecuted([]standin.ExecutedRequest{run(sent)})
		}},
		"request is cut off by a stop": {StopCutsNothing, func(r *records) {
			sent := r.begin(slowOrder, paths[slowOrder], 0)
			r.wasNotAnswered(sent, io.ErrUnexpectedEOF)
			r.checkCuts([]standin.ExecutedRequest{run(sent)}, Day{Stops: true})
		}},
		"unknown request runs": {RequestIsUnchanged, func(r *records) {
			r.checkExecuted([]standin.ExecutedRequest{run(attempt{id: "nobody", path: paths[order]})})
		}},
		"key reaches the target": {RequestIsUnchanged, func(r *records) {
			request := run(r.begin(lookup, paths[lookup], 0))
			request.Key = standin.APIKey
			r.checkExecuted([]standin.ExecutedRequest{request})
		}},
		"body is changed": {RequestIsUnchanged, func(r *records) {
			request := run(r.begin(lookup, paths[lookup], 0))
			request.Body += "x"
			r.checkExecuted([]standin.ExecutedRequest{request})
		}},
		"stream looks complete": {StreamIsWhole, func(r *records) {
			c := newCaller(chat, r, 1, nil, nil, nil)
			c.receiveStream(r.begin(chat, paths[chat], 0), strings.NewReader("id: 1\ndata: event 1\n\n"))
		}},
		"event is missing": {StreamIsWhole, func(r *records) {
			c := newCaller(chat, r, 1, nil, nil, nil)
			c.receiveStream(r.begin(chat, paths[chat], 0), strings.NewReader("id: 1\n\nid: 3\n\n"))
		}},
		"crashing part reaches targets": {CrashingPartIsRefused, func(r *records) {
			var executed []standin.ExecutedRequest
			started := time.Unix(1000, 0)
			for n := range countedCrashes + maxLaterSends + 1 {
				sent := r.begin(crashing, paths[crashing], 0)
				executed = append(executed, standin.ExecutedRequest{
					AttemptID: sent.id, PromptParts: promptParts(sent, false), At: started.Add(time.Duration(n) * 2 * contact),
				})
			}
			r.checkCrashingPart(executed, Day{Entries: 1}, started)
		}},
		"resting target gets requests": {RestIsGranted, func(r *records) {
			r.checkRest(arrivalsEvery(r, 300*time.Millisecond, standin.Arrival{RetryAfter: restSeconds}), Day{Entries: 1}, time.Unix(1000, 0))
		}},
		"limit is exceeded": {LimitIsKept, func(r *records) {
			r.checkLimit(arrivalsEvery(r, 200*time.Millisecond, standin.Arrival{Limit: limitPerSecond}), Day{Entries: 1}, time.Unix(1000, 0))
		}},
		"answer of another request": {AnswerIsWhole, func(r *records) { receiveFrom(t, r, "another", standin.Answer) }},
		"answer with other bytes":   {AnswerIsWhole, func(r *records) { receiveFrom(t, r, "", standin.Answer+"x") }},
	} {
		t.Run(desc, func(t *testing.T) {
			r := newRecords()
			test.breaks(r)
			require.Len(t, r.violations, 1)
			require.Equal(t, test.promise, r.violations[0].Promise)
		})
	}
}

// arrivalsEvery returns arrivals like one from one entry at an interval.
func arrivalsEvery(r *records, interval time.Duration, like standin.Arrival) []standin.Arrival {
	var all []standin.Arrival
	for n := range 30 {
		like.AttemptID = r.begin(lookup, paths[lookup], 0).id
		like.At = time.Unix(1000, 0).Add(time.Duration(n) * interval)
		all = append(all, like)
	}
	return all
}

// expiredContext is past its deadline, and its timer has not run yet.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestCutAtTheDeadlineIsNoCutOfAStop guards against blaming a stop for a request that the entry
// ends at the deadline that its caller has stated, before the caller's own timer runs.
func TestCutAtTheDeadlineIsNoCutOfAStop(t *testing.T) {
	waiting, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for desc, test := range map[string]struct {
		ctx    context.Context
		counts bool
	}{
		"before the deadline":    {waiting, true},
		"without a deadline":     {t.Context(), true},
		"after the deadline":     {expiredContext{t.Context()}, false},
		"the caller has left it": {canceledContext(t), false},
	} {
		t.Run(desc, func(t *testing.T) {
			r := newRecords()
			c := newCaller(chat, r, 1, nil, nil, nil)
			sent := r.begin(chat, paths[chat], 0)
			c.notAnswered(test.ctx, sent, io.ErrUnexpectedEOF)
			_, counted := r.cutOf(sent.id)
			require.Equal(t, test.counts, counted)
		})
	}
}

func canceledContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// receiveFrom lets a caller receive an answer for the given attempt, its own one if empty.
func receiveFrom(t *testing.T, r *records, attemptID, body string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := cmp.Or(attemptID, request.Header.Get(platform.HeaderAttemptID))
		w.Header().Set(platform.HeaderAttemptID, id)
		w.Header().Set(platform.HeaderSignature, "seal")
		// A write error shows in the caller.
		_, _ = w.Write([]byte(body))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c := newCaller(lookup, r, 1, nil, nil, nil)
	c.addresses, c.resolvedAt = []string{listener.Addr().String()}, time.Now()
	require.Equal(t, Served, c.request())
}

// TestUnservedLookupIsFound guards against a judged lookup that fails unnoticed, and against a
// process that ends unnoticed.
func TestUnservedLookupIsFound(t *testing.T) {
	r := newRecords()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	c := newCaller(lookup, r, 1, []string{"127.0.0.1:1"}, nil, func() bool { return true })
	c.run(ctx)
	require.NotEmpty(t, r.violations)
	require.Equal(t, LookupsAreServed, r.violations[0].Promise)
}

func TestProcessThatEndsByItselfIsFound(t *testing.T) {
	ended := make(chan string, 1)
	directory := t.TempDir()
	_, err := newProcess(directory, "/bin", "false", "name", "", func(name string, _ error) { ended <- name })
	require.NoError(t, err)
	select {
	case name := <-ended:
		require.Equal(t, "name", name)
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the process was not noticed")
	}
}

// TestProxyInjectsFaults checks that a link holds back, delays and resets bytes.
func TestProxyInjectsFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 16)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					_, _ = conn.Write(buffer[:n])
				}
			}()
		}
	}()
	link, err := newProxy("127.0.0.1:0", echo.Addr().String())
	require.NoError(t, err)
	t.Cleanup(link.close)
	conn, err := net.Dial("tcp", link.address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	exchange := func(timeout time.Duration) error {
		_, err := conn.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	require.NoError(t, exchange(5*time.Second))
	link.setMode(linkDelayed)
	started := time.Now()
	require.NoError(t, exchange(5*time.Second))
	require.GreaterOrEqual(t, time.Since(started), 2*linkDelay)
	link.setMode(linkSilent)
	require.Error(t, exchange(100*time.Millisecond))
	link.setMode(linkOpen)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err, "held back, not lost")
	link.resetAll()
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
}
