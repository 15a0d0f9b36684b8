import type { FuzzedPromise, World } from './Action.js';
import { answerPromise } from './AnswerWorld.js';
import { claimPromise } from './ClaimWorld.js';
import { homePromise } from './HomeWorld.js';
import { residencyPromise } from './ResidencyWorld.js';
import { budgetPromise, pacerPromise, retryPromise, statePromise } from './SharedWorlds.js';

/** All promises that are fuzzed. */
export const PROMISES = [
  residencyPromise(true),
  residencyPromise(false),
  claimPromise,
  homePromise,
  answerPromise,
  statePromise,
  budgetPromise,
  pacerPromise,
  retryPromise,
] as unknown as readonly FuzzedPromise<World>[];
