export interface Message { role: "system" | "developer" | "user" | "assistant" | "tool"; content: string | null; [more: string]: unknown }
export interface ChatRequest { model: string; messages: Message[]; max_tokens?: number; prompt_cache_key?: string; user?: string; [more: string]: unknown }
export interface Usage { prompt_tokens: number; completion_tokens: number; total_tokens: number; prompt_tokens_details?: { cached_tokens: number } }
export interface Answer { text: string; finish: string; usage: Usage }
export interface AskOptions {
  signal?: AbortSignal;
  /** Sent as Idempotency-Key. The gateway answers a repeated key with the stored response, without a second run. */
  idempotencyKey?: string;
  /** Set to true only if a second run is harmless: permits retries of requests that may have run. */
  idempotent?: boolean;
  timeLimitMs?: number | null;
  onUsage?: (usage: Usage) => void;
}
export class TernlaneError extends Error { status: number; code: string | null; param: string | null; mayHaveRun: boolean; begun: boolean }
export class RequestError extends TernlaneError {}
export class KeyError extends TernlaneError {}
export class ThrottledError extends TernlaneError { retryAfterMs: number }
export class TerminatedError extends TernlaneError {}
export class ConnectionError extends TernlaneError {}
export function events(body: AsyncIterable<Uint8Array>): AsyncGenerator<string>;
export class Ternlane {
  constructor(options: { baseURL: string; apiKey?: string | null; retries?: number; longestPauseMs?: number; timeLimitMs?: number | null; fetch?: typeof fetch });
  stream(request: ChatRequest, options?: AskOptions): AsyncGenerator<string>;
  complete(request: ChatRequest, options?: AskOptions): Promise<Answer>;
  models(): Promise<string[]>;
}
