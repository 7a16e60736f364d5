package daemon

import (
	"context"

	"shallotglade/pkg/admin"
	"shallotglade/pkg/platform"
)

type noHistory struct{}

func newHistory(platform.Store) admin.History { return noHistory{} }

func (noHistory) Append(context.Context, string, admin.Change) error   { return nil }
func (noHistory) List(context.Context, string) ([]admin.Change, error) { return nil, nil }
