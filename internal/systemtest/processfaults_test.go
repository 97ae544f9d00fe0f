package systemtest

import (
	"testing"
)

// TestFaultsOfProcesses injects process faults into one running system, one after
// another. It stops at the first failed check, because that may leave the system
// degraded. KNOWN-RED.txt names the test and its last subtest.
func TestFaultsOfProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 19 processes")
	}
	f := startFleet(t, "himal")
	f.makeReady()
	cases := []struct {
		desc  string
		check func()
	}{
		{"an agent and an entry are killed while orders run", f.checkOrdersDuringKills},
		{"a target leaves and is replaced", f.checkTargetLeave},
		{"an entry is suspended while a failure domain is taken out", f.checkSuspendedEntry},
		{"all engines of a failure domain restart at once", f.checkDomainCrash},
		{"chats outlive the restart of a failure domain", f.checkDomainCrashChatsAnswered},
	}
	for _, c := range cases {
		passed := t.Run(c.desc, func(inner *testing.T) {
			f.t = inner
			c.check()
		})
		f.t = t
		if !passed {
			return
		}
	}
}
