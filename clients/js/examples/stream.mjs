// node examples/stream.mjs BASE_URL MODEL: streams a response, then requests the same without streaming.
import { Ternlane } from "../src/index.js";

const [baseURL, model] = process.argv.slice(2);
const client = new Ternlane({ baseURL, apiKey: process.env.TERNLANE_KEY ?? null });
const messages = [{ role: "user", content: "Summarise folder 17." }];
for await (const text of client.stream({ model, messages }, { onUsage: (u) => console.error(`${u.total_tokens} tokens`) })) {
  process.stdout.write(text);
}
process.stdout.write("\n");
console.log((await client.complete({ model, messages })).text);
