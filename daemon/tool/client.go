package tool

import (
	"context"
	"net/url"

	"gopkg.in/ini.v1"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
)

// operatorKey authenticates requests with an operator key.
type operatorKey string

// Bearer implements operatorapi.SecuritySource.
func (k operatorKey) Bearer(context.Context, operatorapi.OperationName) (operatorapi.Bearer, error) {
	return operatorapi.Bearer{Token: string(k)}, nil
}

// client returns a client of the operator API and a context with the command's time limit.
func (t *tool) client() (*operatorapi.Client, context.Context, context.CancelFunc, error) {
	if err := t.readConfig(); err != nil {
		return nil, nil, nil, err
	}
	parsed, err := url.Parse(t.common.Operator)
	if t.common.Operator == "" || err != nil || parsed.Host == "" {
		return nil, nil, nil, &usageError{Message: "operator URL missing or invalid: set --operator, VERBENASEAM_OPERATOR, or url in section [operator] of the --config file"}
	}
	client, err := operatorapi.NewClient(t.common.Operator, operatorKey(t.common.Key))
	if err != nil {
		return nil, nil, nil, &usageError{Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.common.Timeout)
	return client, ctx, cancel, nil
}

// readConfig reads the options that neither the command line nor the environment sets
// from the --config file.
func (t *tool) readConfig() error {
	if t.common.Config == "" {
		return nil
	}
	file, err := ini.Load(t.common.Config)
	if err != nil {
		return &usageError{Message: t.common.Config + ": " + err.Error()}
	}
	section := file.Section("operator")
	if t.common.Operator == "" {
		t.common.Operator = section.Key("url").String()
	}
	if t.common.Key == "" {
		t.common.Key = section.Key("key").String()
	}
	return nil
}
