import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]*$/, 'allowed are lower-case letters, digits, dots and hyphens');

const adapterSchema = z.strictObject({
  name: name.describe('Name of the adapter; callers ask for service/model:adapter.'),
  sizeBytes: z.int().positive().describe('Memory that the adapter needs, in bytes.'),
});

const modelSchema = z.strictObject({
  name: name.describe('Name of the model; callers ask for service/model.'),
  version: z.string().min(1).default('1').describe('Version of the checkpoint.'),
  weightBytes: z.int().positive().describe('Memory for the weights, in bytes.'),
  kvCacheBytes: z
    .int()
    .nonnegative()
    .default(0)
    .describe('Memory for the KV cache of one replica, in bytes.'),
  adapters: z.array(adapterSchema).default([]).describe('Adapters of the model.'),
});

/** File that describes a service. */
export const serviceFileSchema = z
  .strictObject({
    service: name.describe('Name of the service.'),
    kind: z
      .enum(['model', 'plain'])
      .default('model')
      .describe('Whether it serves models or passes calls on.'),
    pool: name.describe('Pool of backend servers that it runs on.'),
    organisations: z.array(name).min(1).describe('Organisations that may call it.'),
    models: z.array(modelSchema).default([]).describe('Its models; none for a plain service.'),
    maxReplicas: z
      .int()
      .positive()
      .default(2)
      .describe('Most replicas of each model that may ever be loaded.'),
    weighing: z
      .strictObject({
        coldStartSecond: z
          .number()
          .nonnegative()
          .default(1)
          .describe('Cost of a second that a caller waits for a cold start.'),
        idleAcceleratorHour: z
          .number()
          .nonnegative()
          .default(10)
          .describe('Cost of an hour in which a loaded model has no work.'),
      })
      .prefault({})
      .describe('How the service weighs cold starts against idle accelerator time; only the ratio matters.'),
    requestClass: z
      .enum(['interactive', 'batch'])
      .default('interactive')
      .describe('Batch waits for a warm replica.'),
    defaultDeadlineMs: z
      .int()
      .positive()
      .default(30_000)
      .describe('Deadline of a request that names none, in milliseconds.'),
    idempotent: z
      .boolean()
      .default(true)
      .describe('Whether a request may be run again when its outcome is unknown.'),
  })
  .refine((service) => (service.kind === 'plain') === (service.models.length === 0), {
    path: ['models'],
    message: 'a model service needs at least one model, and a plain service has none',
  });

/** File that describes an organisation. */
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
    .describe('Most tokens generated in one UTC day; absent for no limit.'),
});

/** A service file as read. */
export type ServiceFile = z.infer<typeof serviceFileSchema>;
/** An organisation file as read. */
export type OrganisationFile = z.infer<typeof organisationFileSchema>;
