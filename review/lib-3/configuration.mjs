// Configuration of a small deployment, with the kinds of request of `mosquitero-coop`.

export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

const makeRoute = (Name, Kind, Service, otherFields) => ({
  Name,
  Hostname: 'a.example',
  PathPrefix: `/${Name}/`,
  Kind,
  Service,
  Priority: 2,
  MaxAttempts: 1,
  ...otherFields,
});

export const ROUTES = {
  batch: makeRoute('quote-batch', 'stream', 'asistente', {
    TimeoutMs: 25_000,
    TargetLatencyMs: 3_000,
    Priority: 1,
    CanResume: false,
    GapAimMs: 150,
  }),
  draft: makeRoute('quote-draft', 'stream', 'asistente', {
    TimeoutMs: 12_000,
    TargetLatencyMs: 500,
    MaxAttempts: 2,
    CanResume: true,
    GapAimMs: 150,
  }),
  order: makeRoute('order-place', 'non_idempotent', 'pedidos', { TimeoutMs: 1_500, TargetLatencyMs: 193 }),
  read: makeRoute('measure-read', 'idempotent', 'pedidos', {
    TimeoutMs: 1_500,
    TargetLatencyMs: 193,
    MaxAttempts: 2,
  }),
};

/** Returns a configuration with these routes and two services without model placement. */
export function makeConfiguration(routes) {
  return {
    Version: 7,
    Routes: routes,
    Services: [
      { Name: 'asistente', HealthPath: '/health', MaxConns: 300, Protocol: 'h1', Tls: false },
      { Name: 'pedidos', HealthPath: '/health', MaxConns: 110, Protocol: 'h1', Tls: false },
    ],
    Limits: LIMITS,
  };
}
