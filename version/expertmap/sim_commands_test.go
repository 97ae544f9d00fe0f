package expertmap

// send carries out a command at once and replies. With probability lossRate the reply is
// lost instead, and the command is carried out at once, late or never.
func (a *simCommands) send(count uint64, apply func(r *RankReport) bool) (bool, error) {
	rank := a.group.ranks[a.rank]
	execute := func() bool {
		if rank.report.CommandCount != count {
			return false
		}
		if !apply(&rank.report) {
			return false
		}
		if a.group.countsCommands {
			rank.report.CommandCount++
		}
		return true
	}
	if a.group.random.Float64() >= a.group.lossRate {
		return execute(), nil
	}
	switch a.group.random.IntN(3) {
	case 0:
		execute()
	case 1:
		rank.delayed = append(rank.delayed, func() { execute() })
	}
	return false, errNoReply
}

// sendKept is send over a kept connection: at times the response is a late copy of an earlier
// one, to a command that was accepted, and this one is refused or arrives late.
func (a *simCommands) sendKept(count uint64, apply func(r *RankReport) bool) (bool, error) {
	ok, err := a.send(count, apply)
	if a.group.random.IntN(20) == 0 {
		return true, nil
	}
	return ok, err
}

// Report implements EngineCommands. At times the engine sends an earlier report once more.
func (a *simCommands) Report() (RankReport, error) {
	present, _ := a.FreshReport()
	earlier := a.lastSent
	a.lastSent = &present
	if earlier != nil && a.group.random.IntN(10) == 0 {
		return *earlier, nil
	}
	return present, nil
}

// FreshReport implements EngineCommands.
func (a *simCommands) FreshReport() (RankReport, error) {
	report := a.group.ranks[a.rank].report
	if a.claimedCopy != 0 && report.Prepared+1 == a.claimedCopy {
		report.Prepared = a.claimedCopy
	}
	if claimedHold := a.group.ranks[a.rank].claimedHold; claimedHold > report.Step {
		report.Holding, report.Held = true, claimedHold
	}
	if a.group.fault == simGoUnarmed && report.Holding {
		report.Armed, report.ArmedStep = a.claimedSwitch(report)
	}
	return report, nil
}

// claimedSwitch reports an armed switch whatever the state of the engine.
func (a *simCommands) claimedSwitch(report RankReport) (number, step uint64) {
	if report.Armed != 0 {
		return report.Armed, report.ArmedStep
	}
	return report.Prepared, report.Held
}

// Arm implements EngineCommands.
func (a *simCommands) Arm(count, _, number, step uint64) (bool, error) {
	return a.send(count, func(r *RankReport) bool {
		if r.Prepared != number || r.Step >= step || r.Armed != 0 {
			return false
		}
		r.Armed, r.ArmedStep = number, step
		return true
	})
}

// Disarm implements EngineCommands.
func (a *simCommands) Disarm(count, _, number uint64) (bool, error) {
	return a.send(count, func(r *RankReport) bool {
		if r.Armed != number {
			return false
		}
		r.Armed, r.ArmedStep = 0, 0
		return true
	})
}

// Hold implements EngineCommands.
func (a *simCommands) Hold(count, _, step uint64) (bool, error) {
	if a.group.fault == simFalseHold {
		a.group.ranks[a.rank].claimedHold = step
		return true, nil
	}
	return a.sendKept(count, func(r *RankReport) bool {
		if r.Holding || r.Step >= step {
			return false
		}
		r.Holding, r.Held = true, step
		return true
	})
}

// Copy implements EngineCommands.
func (a *simCommands) Copy(count, _, number uint64) (bool, error) {
	if a.group.fault == simFalseCopy {
		a.claimedCopy = number
		return true, nil
	}
	return a.send(count, func(*RankReport) bool { return a.group.ranks[a.rank].copyMap(number) })
}

// Go implements EngineCommands.
func (a *simCommands) Go(count, _, step uint64) (bool, error) {
	return a.send(count, func(r *RankReport) bool {
		if !r.Holding || r.Held != step {
			return false
		}
		r.Holding = false
		return true
	})
}
