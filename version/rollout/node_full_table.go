package rollout

import "time"

// partTimeout is the time to wait for one part of a full table. It is also the
// mean interval between loads of the full table from the log.
const partTimeout = 2 * time.Second

// fullTableState is the state of a transfer of a full table from a peer or from
// the log.
type fullTableState struct {
	// needed means that the missing entries cannot be had one by one, so that the
	// full table must be loaded.
	needed bool
	// loading means that the runtime is loading the table from the log or decoding
	// the one that a peer sent.
	loading bool
	// nextLoad is the earliest time of the next load from the log.
	nextLoad time.Time

	// peer is the peer that the parts are fetched from, empty if there is none.
	peer    string
	version uint64
	// parts is the total number of parts; body holds those received so far.
	parts int
	body  [][]byte
	// requestedAt is the time of the request for the next part.
	requestedAt time.Time
}

// tickFullTable abandons a transfer that timed out, and loads the full table from
// the log if it is needed and no transfer from a peer is in progress.
func (n *Node) tickFullTable(now time.Time) {
	if n.fullTable.peer != "" && now.Sub(n.fullTable.requestedAt) > partTimeout {
		n.avoidPeer(now, n.fullTable.peer)
		delete(n.start.offers, n.fullTable.peer)
		n.fullTable.peer = ""
	}
	if n.fullTable.needed && n.fullTable.peer == "" {
		n.loadFullTable(now)
	}
}

func (n *Node) loadFullTable(now time.Time) {
	if n.fullTable.loading || now.Before(n.fullTable.nextLoad) {
		return
	}
	n.fullTable.loading = true
	n.fullTable.nextLoad = now.Add(n.jitter(partTimeout))
	n.actions = append(n.actions, LoadFullTable{})
}

// fetchFullTable starts to fetch the full table from a peer, unless a transfer or
// load is in progress.
func (n *Node) fetchFullTable(now time.Time, peer string) {
	if n.fullTable.peer != "" || n.fullTable.loading {
		return
	}
	n.fullTable.peer, n.fullTable.version, n.fullTable.body = peer, 0, nil
	n.fetchPart(now)
}

func (n *Node) fetchPart(now time.Time) {
	n.fullTable.requestedAt = now
	fetch := FetchPart{Version: n.fullTable.version, Part: len(n.fullTable.body)}
	n.send(n.fullTable.peer, KindFetchPart, fetch)
}

// onPart handles one part of the full table. A transfer is abandoned if the peer no
// longer holds the version or announces too many parts.
func (n *Node) onPart(now time.Time, peer string, part Part) {
	if peer != n.fullTable.peer || part.Part != len(n.fullTable.body) {
		return
	}
	if n.fullTable.version != 0 && part.Version != n.fullTable.version || part.Parts < 1 || part.Parts > maxParts {
		n.fullTable.peer = ""
		return
	}
	n.fullTable.version, n.fullTable.parts = part.Version, part.Parts
	n.fullTable.body = append(n.fullTable.body, part.Body)
	if len(n.fullTable.body) < part.Parts {
		n.fetchPart(now)
		return
	}
	n.fullTable.peer = ""
	n.fullTable.loading = true
	n.actions = append(n.actions, InstallFullTable{Version: part.Version, Body: joinParts(n.fullTable.body)})
	n.fullTable.body = nil
}

// joinParts is the inverse of splitBody.
func joinParts(parts [][]byte) []byte {
	var body []byte
	for _, part := range parts {
		body = append(body, part...)
	}
	return body
}

// HandleFullTable handles the result of a LoadFullTable or InstallFullTable action:
// the runtime has installed a full table or failed to get one. The runtime must not
// install a version lower than Node.Version; it reports such a table without an
// error.
func (n *Node) HandleFullTable(now time.Time, version uint64, err error) []Action {
	n.fullTable.loading = false
	if err != nil {
		n.fullTable.needed = n.fullTable.needed || n.ready
		return n.takeActions()
	}
	n.fullTable.needed = false
	if version > n.version {
		n.version = version
		n.recent.reset()
		n.versionAdvanced(now)
	}
	return n.takeActions()
}
