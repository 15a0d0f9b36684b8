import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'allowed are lower-case letters, digits, dots and hyphens');

const adapterSchema = z.strictObject({
  name: name.describe('Name of the adapter; callers request service/model:adapter.'),
  sizeBytes: z.int().positive().describe('Memory that the adapter needs, in bytes.'),
});

const modelSchema = z.strictObject({
  name: name.describe('Name of the model; callers request service/model.'),
  version: z.string().min(1).default('1').describe('Version of the checkpoint.'),
  weightBytes: z.int().positive().describe('Memory for the weights, in bytes.'),
  kvCacheBytes: z
    .int()
    .nonnegative()
    .default(0)
    .describe('Memory for the KV cache of one replica, in bytes.'),
  adapters: z.array(adapterSchema).default([]).describe('Adapters of the model.'),
});

/** Schema of a service file, which describes one service and its models. */
export const serviceFileSchema = z
  .strictObject({
    service: name.describe('Name of the service.'),
    kind: z
      .enum(['model', 'plain'])
      .default('model')
      .describe('Whether the service serves models or forwards requests.'),
    pool: name.describe('Pool of backend servers that it runs on.'),
    organisations: z.array(name).min(1).describe('Organisations that may call it.'),
    models: z.array(modelSchema).default([]).describe('Its models; none for a plain service.'),
    maxReplicas: z.int().positive().default(2).describe('Maximum number of loaded replicas of each model.'),
    weighing: z
      .strictObject({
        coldStartSecond: z
          .number()
          .nonnegative()
          .default(1)
          .describe('Cost of one second that a caller waits for a cold start.'),
        idleAcceleratorHour: z
          .number()
          .nonnegative()
          .default(10)
          .describe('Cost of one hour in which a loaded model is idle.'),
      })
      .prefault({})
      .describe('Cost weights of cold starts and of idle accelerator time; only their ratio matters.'),
    requestClass: z
      .enum(['interactive', 'batch'])
      .default('interactive')
      .describe('Urgency of the requests; batch requests wait for a loaded replica.'),
    defaultDeadlineMs: z
      .int()
      .positive()
      .default(30_000)
      .describe('Deadline of a request that states none, in milliseconds.'),
    idempotent: z
      .boolean()
      .default(true)
      .describe('Whether a request may be retried when its outcome is unknown.'),
  })
  .refine((service) => (service.kind === 'plain') === (service.models.length === 0), {
    path: ['models'],
    message: 'a model service needs at least one model, and a plain service has none',
  });

/** Schema of an organisation file, which describes one organisation. */
export const organisationFileSchema = z.strictObject({
  organisation: name.describe('Name of the organisation.'),
  tokenSha256s: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'allowed is the SHA-256 of a token in lower-case hexadecimal'))
    .min(1)
    .describe('SHA-256 of each valid bearer token.'),
  tokensPerDay: z
    .int()
    .positive()
    .optional()
    .describe('Maximum number of tokens generated per UTC day; no limit when absent.'),
});

/** A parsed service file. */
export type ServiceFile = z.infer<typeof serviceFileSchema>;
/** A parsed organisation file. */
export type OrganisationFile = z.infer<typeof organisationFileSchema>;
