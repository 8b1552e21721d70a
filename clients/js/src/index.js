/**
 * Client of ternlane's chat API for Node, without dependencies.
 *
 *   const client = new Ternlane({ baseURL: "http://127.0.0.1:8080", apiKey });
 *   for await (const text of client.stream({ model: "summary", messages })) process.stdout.write(text);
 *
 * Retries: a rejected request (429 or 503) did not run and is retried after Retry-After. A refused connection sent
 * nothing, so the request is retried with backoff. After other failures the request may have run, and it is retried
 * only if the caller declares it idempotent. A stream that has begun is never retried.
 */

/** Base class of errors. `mayHaveRun`: the request may have had its effect. `begun`: a part of the stream was received. */
export class TernlaneError extends Error {
  constructor(message, { status = 0, code = null, param = null, mayHaveRun = false, begun = false, cause } = {}) {
    super(message, { cause });
    this.name = new.target.name;
    Object.assign(this, { status, code, param, mayHaveRun, begun });
  }
}
/** The request is invalid and must not be repeated unchanged: status 400, 404, 409, 413, 422. */
export class RequestError extends TernlaneError {}
/** The API key is missing or invalid: status 401. */
export class KeyError extends TernlaneError {}
/** The request was rejected (rate limit, budget or overload) and did not run. `retryAfterMs`: delay before a retry. */
export class ThrottledError extends TernlaneError {
  constructor(message, options) {
    super(message, options);
    this.retryAfterMs = options.retryAfterMs;
  }
}
/** The gateway terminated the request, or its stream broke; it may have run. */
export class TerminatedError extends TernlaneError {}
/** The gateway could not be reached, or the connection broke. */
export class ConnectionError extends TernlaneError {}

const NOT_SENT = new Set(["ECONNREFUSED", "ENOTFOUND", "EAI_AGAIN", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

function codeOf(error) {
  for (let at = error; at; at = at.cause) if (at.code) return at.code;
  return "";
}

function retryAfter(headers) {
  const retryAfterMs = Number(headers.get("retry-after-ms"));
  if (headers.has("retry-after-ms") && Number.isFinite(retryAfterMs) && retryAfterMs >= 0) return retryAfterMs;
  const seconds = Number(headers.get("retry-after"));
  return headers.has("retry-after") && Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : 500;
}

async function failure(response) {
  let info = {};
  try {
    info = (await response.json()).error ?? {};
  } catch {
    // no complete JSON error: the status has to suffice
  }
  const options = { status: response.status, code: info.code ?? null, param: info.param ?? null };
  const message = info.message ?? `HTTP ${response.status}`;
  if (response.status === 429) return new ThrottledError(message, { ...options, retryAfterMs: retryAfter(response.headers) });
  if (response.status === 401) return new KeyError(message, options);
  if (response.status === 503) return new ThrottledError(message, { ...options, retryAfterMs: retryAfter(response.headers) });
  if (response.status >= 500) return new TerminatedError(message, { ...options, mayHaveRun: true });
  return new RequestError(message, options);
}

function sleep(ms, signal) {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason);
    const onAbort = () => { clearTimeout(timer); reject(signal.reason); };
    const timer = setTimeout(() => { signal?.removeEventListener("abort", onAbort); resolve(); }, ms);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/** Parses the server-sent events of a body and yields their data; events may span chunks. */
export async function* events(body) {
  const decoder = new TextDecoder("utf-8", { fatal: true });
  let rest = "", data = [];
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    const tail = rest.endsWith("\r") ? "\r" : "";
    const lines = rest.slice(0, rest.length - tail.length).split(/\r\n|\n|\r/);
    rest = lines.pop() + tail;
    for (const line of lines) {
      if (line === "") {
        if (data.length) yield data.join("\n");
        data = [];
      } else if (line.startsWith("data:")) {
        data.push(line.slice(line[5] === " " ? 6 : 5));
      }
    }
  }
}

export class Ternlane {
  /** `retries`: maximum number of retries. `longestPauseMs`: longest delay before a retry; a longer one fails the request. */
  constructor({ baseURL, apiKey = null, retries = 2, longestPauseMs = 30_000, timeLimitMs = null, fetch: fetchFunction = globalThis.fetch }) {
    this.baseURL = baseURL.replace(/\/+$/, "");
    Object.assign(this, { apiKey, retries, longestPauseMs, timeLimitMs, fetchFunction });
  }

  async open(request, stream, { signal, idempotencyKey, idempotent = false, timeLimitMs = this.timeLimitMs } = {}) {
    const headers = { "content-type": "application/json" };
    if (this.apiKey) headers.authorization = `Bearer ${this.apiKey}`;
    if (idempotencyKey) headers["idempotency-key"] = idempotencyKey;
    if (timeLimitMs) headers["x-ternlane-time-limit-ms"] = String(timeLimitMs);
    const body = JSON.stringify({ ...request, stream, ...(stream ? { stream_options: { include_usage: true } } : {}) });
    for (let retriesLeft = this.retries; ; retriesLeft -= 1) {
      let error;
      try {
        const response = await this.fetchFunction(`${this.baseURL}/v1/chat/completions`, { method: "POST", headers, body, signal });
        if (response.status === 200) return response;
        error = await failure(response);
      } catch (cause) {
        if (signal?.aborted) throw signal.reason;
        const mayHaveBeenSent = !NOT_SENT.has(codeOf(cause));
        error = new ConnectionError(`request to ${this.baseURL} failed: ${codeOf(cause) || cause.message}`, { mayHaveRun: mayHaveBeenSent, cause });
      }
      const retryable = error instanceof ThrottledError || (error instanceof ConnectionError && !error.mayHaveRun)
        || (idempotent && error.mayHaveRun);
      const pause = error instanceof ThrottledError ? error.retryAfterMs : 100 * 2 ** (this.retries - retriesLeft);
      if (!retryable || retriesLeft <= 0 || pause > this.longestPauseMs) throw error;
      await sleep(pause * (1 + 0.1 * Math.random()), signal);
    }
  }

  /** Yields the response text in pieces. Leaving the loop or aborting cancels the request at the gateway.
   *  `onUsage` receives the token counts at the end. */
  async *stream(request, options = {}) {
    const response = await this.open(request, true, options);
    let begun = false, done = false;
    try {
      for await (const data of events(response.body)) {
        if (data === "[DONE]") { done = true; continue; }
        const event = JSON.parse(data);
        if (event.error) throw new TerminatedError(event.error.message, { code: event.error.code, mayHaveRun: true, begun });
        if (event.usage) options.onUsage?.(event.usage);
        const text = event.choices?.[0]?.delta?.content;
        if (text) { begun = true; yield text; }
      }
    } catch (cause) {
      if (cause instanceof TernlaneError) throw cause;
      if (options.signal?.aborted) throw options.signal.reason;
      throw new ConnectionError(`stream broke: ${cause.message}`, { mayHaveRun: true, begun, cause });
    }
    if (!done) throw new ConnectionError("stream ended without [DONE]", { mayHaveRun: true, begun });
  }

  /** Returns the complete response: `{ text, finish, usage }`. */
  async complete(request, options = {}) {
    const response = await this.open(request, false, options);
    const answer = await response.json();
    const choice = answer.choices[0];
    return { text: choice.message.content, finish: choice.finish_reason, usage: answer.usage };
  }

  /** Returns the names of the available models. */
  async models() {
    const headers = this.apiKey ? { authorization: `Bearer ${this.apiKey}` } : {};
    const response = await this.fetchFunction(`${this.baseURL}/v1/models`, { headers });
    if (response.status !== 200) throw await failure(response);
    return (await response.json()).data.map((model) => model.id);
  }
}
