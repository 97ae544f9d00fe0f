package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/ogen-go/ogen/ogenerrors"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/gateway"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// maxTablesBytes is the maximum size of the tables in a request.
const maxTablesBytes = 64 << 20

// operatorAPI implements the operator API.
type operatorAPI struct {
	entry *Entry
}

func newOperatorAPI(e *Entry) (http.Handler, error) {
	o := &operatorAPI{entry: e}
	guard := &operatorKeys{hashes: e.settings.OperatorKeyHashes}
	return operatorapi.NewServer(o, guard, operatorapi.WithErrorHandler(writeAPIError))
}

// writeAPIError responds to a request that the generated code rejects before a handler
// runs.
func writeAPIError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	gateway.WriteFailure(w, apiFailure(err))
}

// apiFailure converts an error of the generated code to a typed failure.
func apiFailure(err error) *failure.Error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		return typed
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) || errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		return failure.New(failure.Unauthorized, failure.NotRun, "the key is missing or wrong")
	}
	var decoding *ogenerrors.DecodeRequestError
	var parameters *ogenerrors.DecodeParamsError
	if errors.As(err, &decoding) || errors.As(err, &parameters) {
		return failure.New(failure.BadRequest, failure.NotRun, "the request does not follow the API").WithCause(err)
	}
	return failure.From(err)
}

// operatorKeys checks operators' keys against their hashes.
type operatorKeys struct {
	hashes []string
}

// HandleBearer implements operatorapi.SecurityHandler. It compares the key with every
// hash, in constant time, so that the response time reveals nothing about the hashes.
func (k *operatorKeys) HandleBearer(ctx context.Context, _ operatorapi.OperationName, bearer operatorapi.Bearer) (context.Context, error) {
	sum := sha256.Sum256([]byte(bearer.Token))
	given := []byte(hex.EncodeToString(sum[:]))
	matches := 0
	for _, hash := range k.hashes {
		matches |= subtle.ConstantTimeCompare(given, []byte(hash))
	}
	if matches == 0 {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "the key is missing or wrong")
	}
	return ctx, nil
}

// current returns the tables in force.
func (o *operatorAPI) current() (*table.Snapshot, error) {
	snapshot := o.entry.node.Current()
	if snapshot == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "this entry has no configuration yet")
	}
	return snapshot, nil
}

// GetTables implements operatorapi.Handler.
func (o *operatorAPI) GetTables(ctx context.Context) (*operatorapi.GetTablesOKHeaders, error) {
	current, err := o.newestTables(ctx)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := current.WriteINI(&text); err != nil {
		return nil, err
	}
	return &operatorapi.GetTablesOKHeaders{
		ETag:     etag(current.Version),
		Response: operatorapi.GetTablesOK{Data: &text},
	}, nil
}

// newestTables reads the tables from the platform. If that fails it returns the tables
// in force.
func (o *operatorAPI) newestTables(ctx context.Context) (*table.Table, error) {
	loaded, err := o.entry.node.RolloutLog.Load(ctx)
	if err == nil {
		return loaded, nil
	}
	snapshot, snapshotErr := o.current()
	if snapshotErr != nil {
		return nil, snapshotErr
	}
	return snapshot.Table(), nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(text string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(text, "W/"), `"`), 10, 64)
	if err != nil {
		return 0, failure.New(failure.BadRequest, failure.NotRun, "If-Match is not a version")
	}
	return version, nil
}

func (o *operatorAPI) parse(data io.Reader) (*table.Table, error) {
	parsed, err := table.Parse(io.LimitReader(data, maxTablesBytes), "tables")
	if err != nil {
		return nil, err
	}
	return parsed, parsed.Validate()
}

// PutTables implements operatorapi.Handler.
func (o *operatorAPI) PutTables(ctx context.Context, req operatorapi.PutTablesReq, params operatorapi.PutTablesParams) (*operatorapi.Change, error) {
	base, err := parseETag(params.IfMatch)
	if err != nil {
		return nil, err
	}
	next, err := o.parse(req.Data)
	if err != nil {
		return nil, err
	}
	next.Version = base + 1
	return o.propose(ctx, rollout.Change{
		ID: params.XChangeID.Or(uuid.NewString()), Operator: params.XOperator.Or("operator"),
		Base: base, Next: next,
	})
}

func (o *operatorAPI) propose(ctx context.Context, change rollout.Change) (*operatorapi.Change, error) {
	version, err := o.entry.node.Rollout.Propose(ctx, change)
	if err != nil {
		return nil, err
	}
	return &operatorapi.Change{Version: int64(version)}, nil
}

// DiffTables implements operatorapi.Handler.
func (o *operatorAPI) DiffTables(ctx context.Context, req operatorapi.DiffTablesReq) (*operatorapi.Difference, error) {
	current, err := o.newestTables(ctx)
	if err != nil {
		return nil, err
	}
	next, err := o.parse(req.Data)
	if err != nil {
		return nil, err
	}
	lines := table.Diff(current, next).Describe()
	return &operatorapi.Difference{Version: int64(current.Version), Lines: lines}, nil
}

// maxEditAttempts is the maximum number of attempts of an edit that conflicts with the
// changes of other operators.
const maxEditAttempts = 5

// edit applies a small change to the newest tables and proposes the result. Such a
// change does not depend on the rest of the tables, so after a version conflict it is
// applied again to the version that won.
func (o *operatorAPI) edit(ctx context.Context, change func(*table.Table) (*table.Table, error)) (*operatorapi.Change, error) {
	id := uuid.NewString()
	for attempt := 1; ; attempt++ {
		current, err := o.entry.node.RolloutLog.Load(ctx)
		if err != nil {
			return nil, err
		}
		next, err := change(current)
		if err != nil {
			return nil, err
		}
		result, err := o.propose(ctx, rollout.Change{ID: id, Operator: "operator", Base: current.Version, Next: next})
		var conflict *rollout.ConflictError
		if errors.As(err, &conflict) && attempt < maxEditAttempts {
			continue
		}
		return result, err
	}
}

// SetDomain implements operatorapi.Handler.
func (o *operatorAPI) SetDomain(ctx context.Context, req *operatorapi.SetDomainReq, params operatorapi.SetDomainParams) (*operatorapi.Change, error) {
	out := req.State == operatorapi.SetDomainReqStateOut
	return o.edit(ctx, func(t *table.Table) (*table.Table, error) { return table.WithDomainOut(t, params.Name, out) })
}

// LeaveTarget implements operatorapi.Handler.
func (o *operatorAPI) LeaveTarget(ctx context.Context, params operatorapi.LeaveTargetParams) (*operatorapi.Change, error) {
	return o.edit(ctx, func(t *table.Table) (*table.Table, error) { return table.WithTargetLeaving(t, params.Name) })
}

// GetConfirmations implements operatorapi.Handler.
func (o *operatorAPI) GetConfirmations(_ context.Context, params operatorapi.GetConfirmationsParams) (*operatorapi.Confirmations, error) {
	confirmed, missing := o.entry.node.Rollout.Adoption(uint64(params.Version))
	return &operatorapi.Confirmations{
		Version: params.Version, Confirmed: orEmpty(confirmed), Missing: orEmpty(missing),
	}, nil
}

func orEmpty(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

// GetStatus implements operatorapi.Handler.
func (o *operatorAPI) GetStatus(context.Context) (*operatorapi.Status, error) {
	return o.entry.status(), nil
}

// NewError implements operatorapi.Handler.
func (o *operatorAPI) NewError(_ context.Context, err error) *operatorapi.FailureStatusCode {
	failed, lines := operatorFailure(err)
	return &operatorapi.FailureStatusCode{
		StatusCode: failed.Kind.Status(),
		Response: operatorapi.ErrorBody{Error: operatorapi.ErrorBodyError{
			Type: string(failed.Kind), Message: failed.Message, Outcome: string(failed.Outcome), Lines: lines,
		}},
	}
}
