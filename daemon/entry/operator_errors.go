package entry

import (
	"errors"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// operatorFailure converts an error of an operator API call to a typed failure. For
// invalid tables and version conflicts it also returns lines of detail.
func operatorFailure(err error) (*failure.Error, []string) {
	var invalid table.ValidationErrors
	if errors.As(err, &invalid) {
		lines := make([]string, 0, len(invalid))
		for _, fault := range invalid {
			lines = append(lines, fault.Error())
		}
		return failure.New(failure.InvalidTables, failure.NotRun, "the tables have faults"), lines
	}
	var conflict *rollout.ConflictError
	if errors.As(err, &conflict) {
		return failure.New(failure.VersionConflict, failure.NotRun, conflict.Error()), conflict.Lines
	}
	var unknownName *table.UnknownNameError
	if errors.As(err, &unknownName) {
		return failure.New(failure.NotFound, failure.NotRun, unknownName.Error()), nil
	}
	return platformFailure(err), nil
}

// platformFailure converts an error of the platform to a typed failure; it passes all
// other errors to apiFailure.
func platformFailure(err error) *failure.Error {
	var unavailable *platform.UnavailableError
	var limited *platform.RateLimitedError
	if errors.As(err, &unavailable) || errors.As(err, &limited) {
		return failure.New(failure.PlatformUnavailable, failure.NotRun, "the platform's table cannot be reached").WithCause(err)
	}
	var unknown *platform.UnknownEffectError
	if errors.As(err, &unknown) {
		return failure.New(failure.PlatformUnavailable, failure.Unknown, "the platform's reply was lost").WithCause(err)
	}
	return apiFailure(err)
}
