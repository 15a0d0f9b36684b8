import type { AdminSource } from '../admin/index.js';
import type { ServiceContainer } from '../kernel/index.js';
import { SERVICE_NAMES } from './serviceNames.js';

/**
 * What a router tells its operators.
 * @param kernel - Services of the process.
 * @param id - Name of the instance.
 */
export function getRouterAdminSource(kernel: ServiceContainer, id: string): AdminSource {
  const homes = kernel.getOrThrow(SERVICE_NAMES.scheduler);
  const state = kernel.getOrThrow(SERVICE_NAMES.state);
  const membership = kernel.getOrThrow(SERVICE_NAMES.membership);
  const entry = kernel.getOrThrow(SERVICE_NAMES.entry);
  const watcher = kernel.getOrThrow(SERVICE_NAMES.stateWatcher);
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
      models: homes.getHostedModelIds().map((modelId) => homes.explain(modelId)),
    }),
    explain: (modelId) => homes.explain(modelId),
  };
}

/**
 * What an agent tells its operators.
 * @param kernel - Services of the process.
 * @param id - Name of the instance.
 */
export function getAgentAdminSource(kernel: ServiceContainer, id: string): AdminSource {
  const agent = kernel.getOrThrow(SERVICE_NAMES.agent);
  const residency = kernel.getOrThrow(SERVICE_NAMES.residency);
  const runner = kernel.getOrThrow(SERVICE_NAMES.runner);
  const grants = kernel.getOrThrow(SERVICE_NAMES.grants);
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
        phase: residency.controller.phaseOf(modelId),
        running: residency.controller.runningCountOf(modelId),
      })),
    }),
    explain: (modelId) => ({
      modelId,
      phase: residency.controller.phaseOf(modelId),
      grantVersion: grants.versionOf(modelId),
    }),
  };
}
