// Client checks against a running gateway, started by tests/test_clients.py: node against.mjs BASE_URL SCENE.
// Prints the scene as JSON if it passed.
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { ConnectionError, events, RequestError, TerminatedError, Ternlane, ThrottledError } from "../src/index.js";

const [baseURL, scene] = process.argv.slice(2);
const messages = [{ role: "user", content: "hello" }];
const client = new Ternlane({ baseURL, retries: 3 });
const scenes = {
  async served() {
    const pieces = [];
    let usage = null;
    for await (const text of client.stream({ model: "summary", messages }, { onUsage: (u) => { usage = u; } })) pieces.push(text);
    const complete = await client.complete({ model: "summary", messages });
    assert.equal(pieces.join(""), complete.text);
    assert.equal(usage.completion_tokens, pieces.length);
    assert.deepEqual(await client.models(), ["summary", "note", "form"]);
    await assert.rejects(client.complete({ model: "nobody", messages }), (e) => e instanceof RequestError && e.param === "model");
  },
  async aborted() {
    const controller = new AbortController();
    await assert.rejects(async () => {
      for await (const _ of client.stream({ model: "summary", messages }, { signal: controller.signal })) controller.abort();
    }, (e) => e.name === "AbortError");
  },
  async throttled() {    // the gateway has no endpoints at first: the client retries after Retry-After
    assert.ok((await client.complete({ model: "note", messages })).text.length > 0);
    const once = new Ternlane({ baseURL, retries: 0, longestPauseMs: 0 });
    assert.ok(once.retries === 0 && ThrottledError.prototype instanceof Error);
  },
  async lost() {    // a side-effecting request whose response is lost is not retried
    await assert.rejects(client.complete({ model: "note", messages }), (e) => e instanceof TerminatedError && e.mayHaveRun);
  },
  async keyed() {
    const options = { idempotencyKey: "folder-1" };
    const first = await client.complete({ model: "note", messages }, options);
    assert.equal((await client.complete({ model: "note", messages }, options)).text, first.text);
  },
  async unreached() {
    let requests = 0;
    const server = createServer((request) => { requests += 1; request.socket.destroy(); });
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const localURL = `http://127.0.0.1:${server.address().port}`;
    await assert.rejects(new Ternlane({ baseURL: localURL }).complete({ model: "note", messages }),
      (e) => e instanceof ConnectionError && e.mayHaveRun);
    assert.equal(requests, 1);
    await assert.rejects(new Ternlane({ baseURL: localURL }).complete({ model: "note", messages }, { idempotent: true }), ConnectionError);
    assert.equal(requests, 4);
    await new Promise((resolve) => server.close(resolve));
    await assert.rejects(new Ternlane({ baseURL: localURL, retries: 1 }).complete({ model: "note", messages }),
      (e) => e instanceof ConnectionError && !e.mayHaveRun);
    const raw = new TextEncoder().encode("data: a\r\ndata: é\r\n\r\ndata: b\n\n: note\n\n");
    for (const size of [1, 2, 5, 99]) {
      const chunks = (async function* cut() { for (let i = 0; i < raw.length; i += size) yield raw.slice(i, i + size); })();
      const received = [];
      for await (const data of events(chunks)) received.push(data);
      assert.deepEqual(received, ["a\né", "b"]);
    }
  },
};
await scenes[scene]();
console.log(JSON.stringify({ scene, passed: true }));
