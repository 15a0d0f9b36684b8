import { z } from 'zod';
import { findTrace } from './findTrace.js';

const lineSchema = z.object({ message: z.string(), context: z.record(z.string(), z.unknown()) });

const refusalSchema = z.object({
  instanceId: z.string().default('a router'),
  status: z.number(),
  detail: z.string(),
});

const accessSchema = z.object({ configurationVersion: z.number(), confirmedAgeMs: z.number() });

const quotaSchema = z.object({
  organisationId: z.string(),
  unit: z.string(),
  ratePerSecond: z.number(),
  burst: z.number(),
  cost: z.number(),
  spent: z.number(),
  knowledgeAgeMs: z.number(),
  issuer: z.string(),
  retryInMs: z.number(),
});

/**
 * Explains from collected logs why a request was refused; empty if no line says so.
 * @param lines - Log lines of any processes.
 * @param requestId - ID of the request.
 */
export function explainRefusal(lines: readonly string[], requestId: string): string[] {
  const explanation: string[] = [];
  for (const text of findTrace(lines, requestId)) {
    const line = lineSchema.safeParse(JSON.parse(text.slice(text.indexOf('{')))).data;
    if (line?.message === 'request refused') {
      explanation.push(...describeRefusal(line.context));
    } else if (line?.message === 'quota exceeded') {
      explanation.push(...describeQuota(line.context));
    }
  }
  return explanation;
}

function describeRefusal(context: Record<string, unknown>): string[] {
  const refusal = refusalSchema.safeParse(context).data;
  if (!refusal) {
    return [];
  }
  const { instanceId, status, detail } = refusal;
  const lines = [`${instanceId} answered ${status}: ${detail}.`];
  const access = accessSchema.safeParse(context).data;
  if (access) {
    const { configurationVersion, confirmedAgeMs } = access;
    lines.push(
      `It had version ${configurationVersion} of the configuration, which the store had confirmed ${confirmedAgeMs} ms before.`,
    );
  }
  return lines;
}

function describeQuota(context: Record<string, unknown>): string[] {
  const quota = quotaSchema.safeParse(context).data;
  if (!quota) {
    return [];
  }
  const { organisationId, unit, ratePerSecond, burst, cost, spent, knowledgeAgeMs, issuer, retryInMs } =
    quota;
  const age = knowledgeAgeMs < 0 ? 'not known' : `${spent} ${unit}, as of ${knowledgeAgeMs} ms before`;
  const source = issuer === 'share' ? 'the router itself, which had no issuer' : `the agent ${issuer}`;
  return [
    `Organisation ${organisationId} may use ${ratePerSecond} ${unit} per second and ${burst} at once; the request costs ${cost}.`,
    `Spent in the window: ${age}. Decided by ${source}; its caller may return after ${retryInMs} ms.`,
  ];
}
