// The operator file: what this installation switches on beyond the platform's own settings.
//   yokestream check-config --config CONFIG --operator deploy/operator.jsonnet
//   yokestream print-config --config CONFIG --operator deploy/operator.jsonnet
// Every key, its unit, bounds and default: docs/operators/door.md. On agadir-noms the program runs without it.
local ms = { second: 1000 };

{
  log: {
    level: 'info',
    format: 'text',
  },
  // What the managers share through a store, where the installation runs one: docs/operators/duty.md.
  fleet: { on: false /*, store: ['10.0.0.1:2379', '10.0.0.2:2379'] */ },
  // Teams' budgets and quoted waits: docs/operators/queues.md. Without `teams` each owner is one.
  queues: { on: false },
  door: {
    on: true,
    patience: 0.15,
    most_hint_ms: 30 * ms.second,
    // weights: { 'souss-energie': 52, 'atlas-distrib': 35, 'oasis-gaz': 13 },  // else the platform's shares
  },
}
