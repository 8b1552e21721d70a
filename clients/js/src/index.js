/**
 * Client of ternlane's chat API for Node. No needs at run time.
 *
 *   const client = new Ternlane({ baseURL: "http://127.0.0.1:8080", apiKey });
 *   for await (const text of client.stream({ model: "summary", messages })) process.stdout.write(text);
 *
 * Repeats: a throttle (429) promises that a new try does no harm, so it is tried again when the gateway said.
 * A connection that was refused sent nothing and is tried again. Anything else may have run, and is tried again
 * only for requests that are said to be idempotent. A stream that has begun is never repeated.
 */

/** Base of all errors; `mayHaveRun` tells whether an effect may have happened. */
export class TernlaneError extends Error {
  constructor(message, { status = 0, code = null, param = null, mayHaveRun = false, begun = false, cause } = {}) {
    super(message, { cause });
    this.name = new.target.name;
    Object.assign(this, { status, code, param, mayHaveRun, begun });
  }
}
/** The request is wrong as it stands: 400, 404, 409, 413, 422. */
export class RequestError extends TernlaneError {}
/** No live key: 401. */
export class KeyError extends TernlaneError {}
/** Throttled, or over budget: nothing ran. `retryAfterMs` is when to come back. */
export class ThrottledError extends TernlaneError {
  constructor(message, options) {
    super(message, options);
    this.retryAfterMs = options.retryAfterMs;
  }
}
/** The gateway gave up, or the stream broke off: it may have run. */
export class TerminatedError extends TernlaneError {}
/** No gateway could be reached, or the connection broke. */
export class ConnectionError extends TernlaneError {}

const NOT_SENT = new Set(["ECONNREFUSED", "ENOTFOUND", "EAI_AGAIN", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

function codeOf(error) {
  for (let at = error; at; at = at.cause) if (at.code) return at.code;
  return "";
}

function retryAfter(headers) {
  const exact = Number(headers.get("retry-after-ms"));
  if (headers.has("retry-after-ms") && Number.isFinite(exact) && exact >= 0) return exact;
  const seconds = Number(headers.get("retry-after"));
  return headers.has("retry-after") && Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : 500;
}

async function failure(response) {
  let info = {};
  try {
    info = (await response.json()).error ?? {};
  } catch {
    // not ours, or cut off: the status alone must do
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
    const stop = () => { clearTimeout(timer); reject(signal.reason); };
    const timer = setTimeout(() => { signal?.removeEventListener("abort", stop); resolve(); }, ms);
    signal?.addEventListener("abort", stop, { once: true });
  });
}

/** Server-sent events out of a body, however its bytes are cut. */
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
  /** `retries`: further tries at the most; `longestPauseMs`: a longer return time is not waited for. */
  constructor({ baseURL, apiKey = null, retries = 2, longestPauseMs = 30_000, timeLimitMs = null, fetch: via = globalThis.fetch }) {
    this.baseURL = baseURL.replace(/\/+$/, "");
    Object.assign(this, { apiKey, retries, longestPauseMs, timeLimitMs, via });
  }

  async open(request, stream, { signal, idempotencyKey, idempotent = false, timeLimitMs = this.timeLimitMs } = {}) {
    const headers = { "content-type": "application/json" };
    if (this.apiKey) headers.authorization = `Bearer ${this.apiKey}`;
    if (idempotencyKey) headers["idempotency-key"] = idempotencyKey;
    if (timeLimitMs) headers["x-ternlane-time-limit-ms"] = String(timeLimitMs);
    const body = JSON.stringify({ ...request, stream, ...(stream ? { stream_options: { include_usage: true } } : {}) });
    for (let left = this.retries; ; left -= 1) {
      let error;
      try {
        const response = await this.via(`${this.baseURL}/v1/chat/completions`, { method: "POST", headers, body, signal });
        if (response.status === 200) return response;
        error = await failure(response);
      } catch (cause) {
        if (signal?.aborted) throw signal.reason;
        const sent = !NOT_SENT.has(codeOf(cause));
        error = new ConnectionError(`no answer from ${this.baseURL}: ${codeOf(cause) || cause.message}`, { mayHaveRun: sent, cause });
      }
      const harmless = error instanceof ThrottledError || (error instanceof ConnectionError && !error.mayHaveRun)
        || (idempotent && error.mayHaveRun);
      const pause = error instanceof ThrottledError ? error.retryAfterMs : 100 * 2 ** (this.retries - left);
      if (!harmless || left <= 0 || pause > this.longestPauseMs) throw error;
      await sleep(pause * (1 + 0.1 * Math.random()), signal);
    }
  }

  /** The text, piece by piece. Breaking off the loop, or aborting, ends the generation at the gateway.
   *  `onUsage` hears the token counts at the end. */
  async *stream(request, options = {}) {
    const response = await this.open(request, true, options);
    let begun = false, done = false;
    try {
      for await (const data of events(response.body)) {
        if (data === "[DONE]") { done = true; continue; }
        const said = JSON.parse(data);
        if (said.error) throw new TerminatedError(said.error.message, { code: said.error.code, mayHaveRun: true, begun });
        if (said.usage) options.onUsage?.(said.usage);
        const text = said.choices?.[0]?.delta?.content;
        if (text) { begun = true; yield text; }
      }
    } catch (cause) {
      if (cause instanceof TernlaneError) throw cause;
      if (options.signal?.aborted) throw options.signal.reason;
      throw new ConnectionError(`the stream broke off: ${cause.message}`, { mayHaveRun: true, begun, cause });
    }
    if (!done) throw new ConnectionError("the stream ended before its end", { mayHaveRun: true, begun });
  }

  /** The whole answer: `{ text, finish, usage }`. */
  async complete(request, options = {}) {
    const response = await this.open(request, false, options);
    const answer = await response.json();
    const choice = answer.choices[0];
    return { text: choice.message.content, finish: choice.finish_reason, usage: answer.usage };
  }

  /** Names of the models that are offered. */
  async models() {
    const headers = this.apiKey ? { authorization: `Bearer ${this.apiKey}` } : {};
    const response = await this.via(`${this.baseURL}/v1/models`, { headers });
    if (response.status !== 200) throw await failure(response);
    return (await response.json()).data.map((model) => model.id);
  }
}
