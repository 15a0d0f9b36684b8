import { z } from 'zod';

const listener = (description: string, port: number) =>
  z
    .strictObject({
      host: z.string().min(1).default('127.0.0.1').describe('Address to bind.'),
      port: z.int().min(1).max(65535).default(port).describe('Port to bind.'),
    })
    .prefault({})
    .describe(description);

const platform = z
  .strictObject({ url: z.url().describe("URL of the platform's API, without a trailing slash.") })
  .describe('The platform. Its token comes from the environment variable MONSOONGLADE_PLATFORM_TOKEN.');

const common = {
  id: z
    .string()
    .regex(/^[a-z0-9-]+$/)
    .describe("Name of this instance in the platform's instance list."),
  dataCentre: z.string().min(1).describe('Data centre in which this instance runs.'),
  peer: listener(
    'Listener for other processes of the system, which authenticate with MONSOONGLADE_PEER_SECRET.',
    7420,
  ),
  admin: listener('Listener for operators, who authenticate with MONSOONGLADE_ADMIN_TOKEN.', 7430),
  platform,
  ingress: z
    .strictObject({
      connections: z.int().positive().optional().describe('Maximum number of open connections to a port.'),
      unfinishedHeadBytes: z
        .int()
        .positive()
        .optional()
        .describe('Memory for request heads that are still arriving, over all connections to a port.'),
      waitingBytes: z
        .int()
        .positive()
        .optional()
        .describe('Memory for received bytes that wait for processor time, over all connections to a port.'),
      pipelinedRequests: z
        .int()
        .positive()
        .optional()
        .describe('Number of open requests to a port from which each connection may have only one of them.'),
    })
    .prefault({})
    .describe('Limits of connections. Those that are absent follow from the descriptors of the process.'),
};

/** Settings of a router. */
export const routerSettingsSchema = z
  .strictObject({
    role: z.literal('router').describe('This process serves callers.'),
    ...common,
    entry: listener('Listener for callers.', 7410),
    seedRouters: z
      .array(z.string())
      .default([])
      .describe(
        'Peer addresses (host:port) of other routers, queried at the start when the platform is unavailable.',
      ),
    weightStore: z
      .strictObject({
        loadsPerSecond: z
          .number()
          .positive()
          .default(3)
          .describe('Maximum number of loads started per second, over all servers.'),
        concurrentLoads: z
          .int()
          .positive()
          .default(4)
          .describe('Maximum number of concurrent loads, over all servers.'),
      })
      .prefault({})
      .describe('Limits of the weight store.'),
  })
  .describe('Settings of a router');

/** Settings of an agent. */
export const agentSettingsSchema = z
  .strictObject({
    role: z.literal('agent').describe('This process runs beside one backend server.'),
    ...common,
    backend: z
      .discriminatedUnion('kind', [
        z.strictObject({
          kind: z
            .literal('engine')
            .describe('A model engine, which accepts orders to load and unload models.'),
          url: z.url().describe('URL of the engine, without a trailing slash.'),
        }),
        z.strictObject({
          kind: z.literal('plain').describe('A plain service.'),
          url: z.url().describe('URL of the service, without a trailing slash.'),
          slotCount: z
            .int()
            .positive()
            .default(16)
            .describe('Maximum number of concurrent requests to the service.'),
        }),
      ])
      .describe('The backend server.'),
    adapterLoadsAtOnce: z
      .int()
      .positive()
      .default(2)
      .describe(
        "Maximum number of concurrent adapter loads of this agent: its share of the weight store's limit.",
      ),
  })
  .describe('Settings of an agent');

/** Settings of the daemon. */
export const daemonSettingsSchema = z.discriminatedUnion('role', [routerSettingsSchema, agentSettingsSchema]);

/** Settings of a router. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
/** Settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings of the daemon. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

/** Secrets of a process, read from the environment and never from a settings file. */
export interface Secrets {
  readonly peerSecret: string;
  readonly platformToken: string;
  readonly adminToken: string;
}
