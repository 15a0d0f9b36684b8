/** Error of a server that could not be bound; its message names the address and its settings field. */
export class ListenError extends Error {
  /**
   * @param message - Message for the operator.
   * @param code - Code of the system's error.
   */
  constructor(
    message: string,
    readonly code: string,
  ) {
    super(message);
  }
}
