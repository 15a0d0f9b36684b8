import fc from 'fast-check';

/** A world that a model run drives, with an oracle that throws when a promise is broken. */
export interface World {
  /** Throws when what must always hold does not. */
  assertPromises(): void;
}

/** One kind of step of a model run, with a random argument. */
export function action<W extends World, T>(
  name: string,
  argument: fc.Arbitrary<T>,
  run: (world: W, argument: T) => void,
): fc.Arbitrary<fc.Command<object, W>> {
  return argument.map((value) => ({
    check: () => true,
    run: (_model: object, world: W) => {
      run(world, value);
      world.assertPromises();
    },
    toString: () => `${name}(${JSON.stringify(value)})`,
  }));
}

/** A promise that is fuzzed, and broken versions of the code that the fuzzer must catch. */
export interface FuzzedPromise<W extends World> {
  readonly name: string;
  readonly actions: readonly fc.Arbitrary<fc.Command<object, W>>[];
  /** Creates a world around the real code. */
  readonly create: () => W;
  /** Creates a world around code that is broken on purpose, by name. */
  readonly mutants: Readonly<Record<string, () => W>>;
  /** Brings the world to rest and checks what holds only then. */
  readonly finish?: (world: W) => void;
  readonly maxCommands?: number;
}

/** Runs one promise; the details name the seed and the shrunk trace of a failure. */
export function fuzz<W extends World>(
  promise: FuzzedPromise<W>,
  create: () => W,
  seed: number,
  numRuns: number,
) {
  const commands = fc.array(fc.oneof(...promise.actions), {
    maxLength: promise.maxCommands ?? 60,
    size: 'max',
  });
  const property = fc.property(commands, (steps) => {
    const world = create();
    fc.modelRun(() => ({ model: {}, real: world }), steps);
    promise.finish?.(world);
  });
  return fc.check(property, { seed, numRuns, endOnFailure: false });
}
