import { z } from 'zod';

const listener = (what: string, port: number) =>
  z
    .strictObject({
      host: z.string().min(1).default('127.0.0.1').describe('Address to bind.'),
      port: z.int().min(1).max(65535).default(port).describe('Port to bind.'),
    })
    .prefault({})
    .describe(what);

const platform = z
  .strictObject({ url: z.url().describe("URL of the platform's API, without a trailing slash.") })
  .describe('The platform. Its token comes from the environment variable MONSOONGLADE_PLATFORM_TOKEN.');

const common = {
  id: z
    .string()
    .regex(/^[a-z0-9-]+$/)
    .describe("Name of this instance in the platform's instance list."),
  dataCentre: z.string().min(1).describe('Data centre that this instance stands in.'),
  peer: listener('Listener for other processes of the system; they show MONSOONGLADE_PEER_SECRET.', 7420),
  admin: listener('Listener for operators; they show MONSOONGLADE_ADMIN_TOKEN.', 7430),
  platform,
};

/** Settings of a router. */
export const routerSettingsSchema = z
  .strictObject({
    role: z.literal('router').describe('This process answers callers.'),
    ...common,
    entry: listener('Listener for callers.', 7410),
    seedRouters: z
      .array(z.string())
      .default([])
      .describe(
        'Peer addresses (host:port) of other routers, asked when this one starts while the platform is down.',
      ),
    weightStore: z
      .strictObject({
        loadsPerSecond: z
          .number()
          .positive()
          .default(3)
          .describe('Loads that may start in one second, over all servers.'),
        concurrentLoads: z.int().positive().default(4).describe('Loads under way at once, over all servers.'),
      })
      .prefault({})
      .describe('Limits of the weight store.'),
  })
  .describe('Settings of a router');

/** Settings of an agent. */
export const agentSettingsSchema = z
  .strictObject({
    role: z.literal('agent').describe('This process stands beside one backend server.'),
    ...common,
    backend: z
      .discriminatedUnion('kind', [
        z.strictObject({
          kind: z.literal('engine').describe('A model engine, which takes orders to load and unload.'),
          url: z.url().describe('URL of the engine, without a trailing slash.'),
        }),
        z.strictObject({
          kind: z.literal('plain').describe('A plain service.'),
          url: z.url().describe('URL of the service, without a trailing slash.'),
          slotCount: z.int().positive().default(16).describe('Requests that the service takes at once.'),
        }),
      ])
      .describe('The backend server.'),
    adapterLoadsAtOnce: z
      .int()
      .positive()
      .default(2)
      .describe("Adapter loads that this agent may have in flight: its share of the weight store's limit."),
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

/** Secrets of a process, which never stand in a settings file. */
export interface Secrets {
  readonly peerSecret: string;
  readonly platformToken: string;
  readonly adminToken: string;
}
