package demo

import (
	"context"
	"time"

	"github.com/laburnumcleat/laburnumcleat/standin/canary"
)

const canaryTeam = "demo"

func (r *run) publishCanary(ctx context.Context) error {
	return r.applyChange(ctx, "publish", canary.TemplateEntity(), []byte(canary.Template))
}

// amendCanary publishes the canary parameters for generation 1 and amends them for later generations.
func (r *run) amendCanary(ctx context.Context, generation int) error {
	snapshot, err := r.fleet.Nodes[1].Client().Snapshot(ctx)
	if err != nil {
		return err
	}
	services := r.options.Deployment.Services
	content := canary.Parameters(snapshot, services[len(services)-1].Name, generation)
	verb := "amend"
	if generation == 1 {
		verb = "publish"
	}
	if err := r.applyChange(ctx, verb, canary.ParametersEntity(canaryTeam), content); err != nil {
		return err
	}
	r.prober.Accepted(generation, time.Now())
	return nil
}
