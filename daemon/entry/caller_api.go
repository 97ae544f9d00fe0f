package entry

import (
	"context"
	"net/http"

	"verbenaseam.example/verbenaseam/api/gen/callerapi"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/intake"
	"verbenaseam.example/verbenaseam/request/steer"
	"verbenaseam.example/verbenaseam/version/table"
)

// callerAPI implements the operations of the caller API that are generated from its
// specification.
type callerAPI struct {
	entry *Entry
}

func newCallerAPI(e *Entry) (http.Handler, error) {
	api := &callerAPI{entry: e}
	return callerapi.NewServer(api, api, callerapi.WithErrorHandler(writeAPIError))
}

type organisationKey struct{}

// HandleBearer implements callerapi.SecurityHandler.
func (a *callerAPI) HandleBearer(ctx context.Context, _ callerapi.OperationName, bearer callerapi.Bearer) (context.Context, error) {
	snapshot := a.entry.node.Current()
	if snapshot == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "this entry has no configuration yet")
	}
	organisation, err := intake.Authenticate(snapshot, bearer.Token)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, organisationKey{}, organisation), nil
}

func organisationFrom(ctx context.Context) *table.Organisation {
	return ctx.Value(organisationKey{}).(*table.Organisation)
}

// ListEntries implements callerapi.Handler.
func (a *callerAPI) ListEntries(ctx context.Context) (*callerapi.Entries, error) {
	organisation := organisationFrom(ctx)
	caller := steer.Organisation{Name: organisation.Name, Weight: organisation.Weight}
	answer := steer.SelectEntries(caller, a.entry.steerCandidates(), steer.Config{TTL: a.entry.settings.Shutdown.EntriesTTL})
	entries := &callerapi.Entries{TTLSeconds: max(int(answer.TTL.Seconds()), 1)}
	for _, chosen := range answer.Entries {
		entries.Entries = append(entries.Entries, chosen.URL)
	}
	return entries, nil
}

// steerCandidates returns the entries that callers may be sent to: this one and those
// whose last announcement is at most announcementTTL old.
func (e *Entry) steerCandidates() []steer.Entry {
	own := announcement{
		Name: e.settings.Name, CallerAddress: e.settings.CallerAddress,
		FailureDomain: e.settings.FailureDomain, Leaving: e.leaving.Load(),
	}
	candidates := []steer.Entry{}
	for _, announced := range append(e.peerEntries.live(), own) {
		candidates = append(candidates, steer.Entry{
			Name: announced.Name, URL: "http://" + announced.CallerAddress, FailureDomain: announced.FailureDomain,
			Leaving: announced.Leaving || e.domainOut(announced.FailureDomain),
		})
	}
	return candidates
}

func (e *Entry) domainOut(name string) bool {
	snapshot := e.node.Current()
	return snapshot != nil && snapshot.Table().Domains[name].Out
}

// ListModels implements callerapi.Handler.
func (a *callerAPI) ListModels(ctx context.Context) (*callerapi.Models, error) {
	models := &callerapi.Models{Object: "list", Data: []callerapi.ModelsDataItem{}}
	for _, name := range a.entry.node.Current().Models(organisationFrom(ctx).Name) {
		models.Data = append(models.Data, callerapi.ModelsDataItem{ID: name, Object: "model"})
	}
	return models, nil
}

// NewError implements callerapi.Handler.
func (a *callerAPI) NewError(_ context.Context, err error) *callerapi.ErrorBodyStatusCode {
	failed := apiFailure(err)
	return &callerapi.ErrorBodyStatusCode{
		StatusCode: failed.Kind.Status(),
		Response: callerapi.ErrorBody{Error: callerapi.ErrorBodyError{
			Type: string(failed.Kind), Message: failed.Message, Outcome: string(failed.Outcome),
		}},
	}
}
