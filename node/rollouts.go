package node

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/operator"
	"github.com/bambooknot/bambooknot/rollout"
	"github.com/bambooknot/bambooknot/timer"
)

// rolloutView logs the steps of roll-outs, counts them, and shows and halts roll-outs for operators on the metrics port.
type rolloutView struct {
	log     zerolog.Logger
	clock   *timer.Service
	scope   tally.Scope
	address netip.Addr // of the node
	queue   *eventQueue
	core    *control.Sidecar // set by publish; owned by the control loop

	digest    uint64                      // of the decisions as last logged; owned by the control loop
	logged    map[string]rollout.Decision // owned by the control loop
	malformed map[string]bool             // texts of the orders that were ignored; owned by the control loop
}

func newRolloutView(log zerolog.Logger, clock *timer.Service, scope tally.Scope, address netip.Addr, queue *eventQueue) *rolloutView {
	return &rolloutView{log: log, clock: clock, scope: scope, address: address, queue: queue, logged: make(map[string]rollout.Decision)}
}

// publish logs the decisions that are new to the node. The control loop calls it after each event.
func (v *rolloutView) publish(core *control.Sidecar) {
	v.core = core
	if core.RolloutDigest() == v.digest {
		return
	}
	v.digest = core.RolloutDigest()
	for _, s := range core.Rollouts(v.clock.Now()) {
		d := s.Decision()
		if last := v.logged[d.Service()]; !d.Overrides(last) {
			continue
		}
		v.logged[d.Service()] = d
		v.logStep(s)
	}
}

func (v *rolloutView) logStep(s control.RolloutStatus) {
	d := s.Decision()
	verdict, why := s.Verdict()
	v.log.Info().Str("kind", "rollout_step").Str("service", d.Service()).Str("target", d.Target()).Str("base", d.Base()).Uint64("order", d.Order()).
		Uint64("sequence", d.Sequence()).Stringer("phase", d.Phase()).Int("share_thousandths", d.EffectiveShare()).Int("servers", d.Servers()).Bool("halted", d.Halted()).
		Str("reason", d.Reason()).Dur("age", d.Age()).Dur("limit", d.Limit()).Stringer("decided_by", s.Decider()).Stringer("verdict", verdict).Str("verdict_reason", why).
		Int("guards", s.Guards()).Uint64("base_requests", s.BaseRequests()).Uint64("target_requests", s.TargetRequests()).Msg("step of a roll-out")
	phase := d.Phase().String()
	if d.Halted() {
		phase = "halted"
	}
	v.scope.Tagged(map[string]string{"service": d.Service(), "phase": phase}).Counter("rollout_steps").Inc(1)
	v.scope.Tagged(map[string]string{"service": d.Service()}).Gauge("rollout_share").Update(float64(d.EffectiveShare()) / rollout.FullShare)
}

// recordGauges updates the gauge of running roll-outs. The control loop calls it.
func (v *rolloutView) recordGauges(core *control.Sidecar) {
	running, stopped := 0, 0
	for _, s := range core.Rollouts(v.clock.Now()) {
		if !s.Decision().Final() {
			running++
			if s.Stopped() {
				stopped++
			}
		}
	}
	v.scope.Gauge("rollouts_running").Update(float64(running))
	v.scope.Gauge("rollouts_stopped").Update(float64(stopped))
}

// logMalformed logs each ignored order once.
func (v *rolloutView) logMalformed(errs []error) {
	for _, err := range errs {
		if v.malformed[err.Error()] {
			continue
		}
		if v.malformed == nil || len(v.malformed) >= maxMalformed {
			v.malformed = make(map[string]bool)
		}
		v.malformed[err.Error()] = true
		v.scope.Counter("rollout_orders_ignored").Inc(1)
		v.log.Warn().Str("kind", "rollout_order_ignored").Err(err).Msg("an order of a roll-out cannot be decoded; ignoring it")
	}
}

// maxMalformed bounds the texts of ignored orders that are remembered.
const maxMalformed = 256

// logResult counts failed actions at the store and logs decisions that another node was faster with.
func (v *rolloutView) logResult(r message.RolloutResult) {
	if r.Err() == nil {
		return
	}
	v.scope.Counter("rollout_store_failures").Inc(1)
	if r.Result() == rollout.StoreRejected {
		v.log.Info().Str("kind", "rollout_rejected").Err(r.Err()).Msg("another node has decided since; reading the decisions again")
	}
}

// register adds the paths for operators to a handler of the metrics port.
func (v *rolloutView) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operator.RolloutsPath, v.serveList)
	mux.HandleFunc("POST "+operator.HaltPath, v.serveHalt)
}

func (v *rolloutView) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = operator.WriteRollouts(w, v.list()) // the client has gone
}

// list returns the roll-outs as the control loop knows them.
func (v *rolloutView) list() []operator.RolloutFields {
	var all []operator.RolloutFields
	v.queue.query(func() {
		if v.core == nil {
			return
		}
		for _, s := range v.core.Rollouts(v.clock.Now()) {
			all = append(all, rolloutFields(s))
		}
	})
	slices.SortFunc(all, func(a, b operator.RolloutFields) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

func rolloutFields(s control.RolloutStatus) operator.RolloutFields {
	d := s.Decision()
	verdict, why := s.Verdict()
	reason := d.Reason()
	if verdict == rollout.VerdictBad && why != "" {
		reason = why
	}
	fields := operator.RolloutFields{
		Service: d.Service(), Target: d.Target(), Base: d.Base(), Phase: d.Phase().String(), Share: float64(d.EffectiveShare()) / rollout.FullShare,
		Servers: d.Servers(), Halted: d.Halted(), Stopped: s.Stopped(), Guards: s.Guards(), Sequence: d.Sequence(), Age: d.Age().Round(time.Millisecond), Limit: d.Limit(),
		Verdict: verdict.String(), BaseRequests: s.BaseRequests(), TargetRequests: s.TargetRequests(), Reason: reason,
	}
	if s.Decider().IsValid() {
		fields.Decider = s.Decider().String()
	}
	return fields
}

// serveHalt halts a roll-out. Only clients on the VM may do so, as the port is open to all that collect metrics.
func (v *rolloutView) serveHalt(w http.ResponseWriter, r *http.Request) {
	if !fromOwnVM(r, v.address) {
		http.Error(w, "a roll-out can be halted from the node's own VM only", http.StatusForbidden)
		return
	}
	service := r.URL.Query().Get(operator.ServiceParameter)
	running := slices.ContainsFunc(v.list(), func(f operator.RolloutFields) bool {
		phase, known := rollout.ParsePhase(f.Phase)
		return f.Service == service && known && !phase.Final()
	})
	if !running {
		http.Error(w, "no roll-out of the service is running", http.StatusNotFound)
		return
	}
	v.log.Info().Str("kind", "rollout_halted").Str("service", service).Msg("an operator halts a roll-out")
	v.queue.post(message.NewRolloutHalt(service))
	w.WriteHeader(http.StatusNoContent)
}
