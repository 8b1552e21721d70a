// Run by the project's tests against a gateway: node against.mjs BASE_URL. Prints what it saw as JSON.
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
    const whole = await client.complete({ model: "summary", messages });
    assert.equal(pieces.join(""), whole.text);
    assert.equal(usage.completion_tokens, pieces.length);
    assert.deepEqual(await client.models(), ["summary", "note", "form"]);
    await assert.rejects(client.complete({ model: "nobody", messages }), (e) => e instanceof RequestError && e.param === "model");
  },
  async aborted() {
    const stop = new AbortController();
    await assert.rejects(async () => {
      for await (const _ of client.stream({ model: "summary", messages }, { signal: stop.signal })) stop.abort();
    }, (e) => e.name === "AbortError");
  },
  async throttled() {    // the list is empty at first: told when to come back, it comes back
    assert.ok((await client.complete({ model: "note", messages })).text.length > 0);
    const once = new Ternlane({ baseURL, retries: 0, longestPauseMs: 0 });
    assert.ok(once.retries === 0 && ThrottledError.prototype instanceof Error);
  },
  async lost() {    // a side-effecting one whose answer is lost is not repeated, whatever the retries
    await assert.rejects(client.complete({ model: "note", messages }), (e) => e instanceof TerminatedError && e.mayHaveRun);
  },
  async keyed() {
    const options = { idempotencyKey: "folder-1" };
    const first = await client.complete({ model: "note", messages }, options);
    assert.equal((await client.complete({ model: "note", messages }, options)).text, first.text);
  },
  async unreached() {
    let asked = 0;
    const server = createServer((request) => { asked += 1; request.socket.destroy(); });
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const near = `http://127.0.0.1:${server.address().port}`;
    await assert.rejects(new Ternlane({ baseURL: near }).complete({ model: "note", messages }),
      (e) => e instanceof ConnectionError && e.mayHaveRun);
    assert.equal(asked, 1);
    await assert.rejects(new Ternlane({ baseURL: near }).complete({ model: "note", messages }, { idempotent: true }), ConnectionError);
    assert.equal(asked, 4);
    await new Promise((resolve) => server.close(resolve));
    await assert.rejects(new Ternlane({ baseURL: near, retries: 1 }).complete({ model: "note", messages }),
      (e) => e instanceof ConnectionError && !e.mayHaveRun);
    const raw = new TextEncoder().encode("data: a\r\ndata: é\r\n\r\ndata: b\n\n: note\n\n");
    for (const size of [1, 2, 5, 99]) {
      const parts = (async function* cut() { for (let i = 0; i < raw.length; i += size) yield raw.slice(i, i + size); })();
      const got = [];
      for await (const data of events(parts)) got.push(data);
      assert.deepEqual(got, ["a\né", "b"]);
    }
  },
};
await scenes[scene]();
console.log(JSON.stringify({ scene, passed: true }));
