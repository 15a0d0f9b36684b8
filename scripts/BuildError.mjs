/** Reason why a build failed, for the person who has to do something about it. */
export class BuildError extends Error {
  /**
   * @param step - What the build was doing, such as `bundle the program`.
   * @param reason - What was tried and what happened.
   * @param advice - What to do.
   */
  constructor(step, reason, advice) {
    super(`Could not ${step}: ${reason}. What to do: ${advice}.`);
  }
}
