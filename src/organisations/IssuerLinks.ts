/** Result of a call of an agent's method. */
type IssuerCallResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  | { readonly kind: 'silent' }
  | { readonly kind: 'unsupported' };

/** Connections to the agents that issue credit. */
export interface IssuerLinks {
  call<T>(address: string, method: string, params: object, timeoutMs: number): Promise<IssuerCallResult<T>>;
  notify(address: string, method: string, params: object): void;
  isInTouch(address: string, method: string): boolean;
}
