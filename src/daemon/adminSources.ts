import type { AdminSource } from '../admin/index.js';
import type { ServiceContainer } from '../kernel/index.js';
import { SERVICE_NAMES } from './serviceNames.js';

/**
 * Creates the admin source of a router.
 * @param services - Service container of the process.
 * @param id - Id of the instance.
 */
export function getRouterAdminSource(services: ServiceContainer, id: string): AdminSource {
  const scheduler = services.getOrThrow(SERVICE_NAMES.scheduler);
  const state = services.getOrThrow(SERVICE_NAMES.state);
  const membership = services.getOrThrow(SERVICE_NAMES.membership);
  const entry = services.getOrThrow(SERVICE_NAMES.entry);
  const watcher = services.getOrThrow(SERVICE_NAMES.stateWatcher);
  return {
    isReady: () => entry.isReady && state.revision > 0,
    getStatus: () => ({
      id,
      role: 'router',
      ready: entry.isReady && state.revision > 0,
      stateRevision: state.revision,
      instanceRevision: membership.revision,
      platformReachable: watcher.isPlatformUp,
      routers: membership.getRouterIds(),
      models: scheduler.getOwnedModelIds().map((modelId) => scheduler.explain(modelId)),
    }),
    explain: (modelId) => scheduler.explain(modelId),
  };
}

/**
 * Creates the admin source of an agent.
 * @param services - Service container of the process.
 * @param id - Id of the instance.
 */
export function getAgentAdminSource(services: ServiceContainer, id: string): AdminSource {
  const agent = services.getOrThrow(SERVICE_NAMES.agent);
  const residency = services.getOrThrow(SERVICE_NAMES.residency);
  const runner = services.getOrThrow(SERVICE_NAMES.runner);
  const grants = services.getOrThrow(SERVICE_NAMES.grants);
  return {
    isReady: () => !agent.isLeaving && residency.isReachable,
    getStatus: () => ({
      id,
      role: 'agent',
      ready: !agent.isLeaving && residency.isReachable,
      leaving: agent.isLeaving,
      backendReachable: residency.isReachable,
      grantsConfirmed: grants.isConfirmed,
      committedBytes: residency.controller.ledger.committedBytes,
      freeBytes: residency.controller.ledger.freeBytes,
      running: runner.runningCount,
      models: [...residency.controller.residentModels()].map((modelId) => ({
        modelId,
        phase: residency.controller.getPhase(modelId),
        running: residency.controller.getRunningCount(modelId),
      })),
    }),
    explain: (modelId) => ({
      modelId,
      phase: residency.controller.getPhase(modelId),
      grantVersion: grants.getVersion(modelId),
    }),
  };
}
