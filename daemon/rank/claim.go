package rank

import "github.com/sirupsen/logrus"

// maxClaimRefusals is the number of refusals after which the planner claims another epoch.
const maxClaimRefusals = 2

// epochClaim is the state of the planner's claim of an epoch at this agent's engine.
type epochClaim struct {
	number uint64
	// refusals is how often the engine has refused the claim.
	refusals int
}

// claimEpoch claims an epoch for the planner's next maps, if it needs one: the engine prepares
// its present experts under the number of the claim. It waits while the engine takes part in a
// switch, which the claim would prevent.
func (a *Agent) claimEpoch() {
	if a.planner == nil {
		return
	}
	number := a.planner.Claim(a.engine.LastReport().Prepared)
	if number == 0 || !a.driver.Agent().Idle() {
		return
	}
	report, err := a.engine.Refresh()
	if err != nil || report.Group != a.identity.group || report.Armed != 0 || report.Holding {
		return
	}
	// The fresh report may show that the claim has been accepted, or that another is due.
	if number = a.planner.Claim(report.Prepared); number == 0 {
		return
	}
	if a.claim.number != number {
		a.claim = epochClaim{number: number}
	}
	a.planner.ClaimSent()
	accepted, err := engineCommands{a.target}.Copy(report.CommandCount, report.Group.Incarnation, number)
	switch {
	case err != nil:
		a.log.WithError(err).Debug("command to claim an epoch failed; it is repeated")
	case !accepted:
		a.claim.refusals++
	}
	if after, err := a.engine.Refresh(); err == nil && a.planner.Claim(after.Prepared) == 0 {
		a.log.WithFields(logrus.Fields{"group": a.identity.group.String(), "number": number}).Info("epoch claimed")
		return
	}
	if a.claim.refusals >= maxClaimRefusals {
		a.log.WithFields(logrus.Fields{"group": a.identity.group.String(), "number": number}).Info("engine refused the claim of an epoch; another one is claimed")
		a.claim = epochClaim{}
		a.planner.ClaimRefused()
	}
}
