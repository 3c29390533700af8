// The path of one machine to the platform's store, which can be cut silently.
import { connect, createServer } from 'node:net';
import { setTimeout } from 'node:timers';

/** A connection attempt over a cut path ends after the connect timeout of the caller. */
const CONNECT_TIMEOUT_MS = 500;
const LONG_POLL = /wait_ms=[1-9]/;

export default class StoreProxy {
  /** Time of day in ms at which a waiting read of the store last passed. */
  lastPollAt = 0;

  #isCut = false;

  #pairs = new Set();

  #server;

  constructor(target) {
    this.#server = createServer((socket) => this.#accept(socket, target));
  }

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** From now on no byte passes in either direction; open connections stay silent. */
  cut() {
    this.#isCut = true;
    for (const pair of this.#pairs) for (const socket of pair) socket.pause();
  }

  /** Lets the bytes pass that were held up. */
  heal() {
    this.#isCut = false;
    for (const pair of this.#pairs) for (const socket of pair) socket.resume();
  }

  close() {
    this.#server.close();
    for (const pair of this.#pairs) for (const socket of pair) socket.destroy();
  }

  #accept(socket, target) {
    if (this.#isCut) {
      socket.on('error', () => undefined);
      socket.pause();
      setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
      return;
    }
    const store = connect(target);
    const pair = [socket, store];
    this.#pairs.add(pair);
    const end = () => {
      this.#pairs.delete(pair);
      for (const side of pair) side.destroy();
    };
    for (const side of pair) side.on('error', () => undefined).on('close', end);
    socket.on('data', (chunk) => {
      if (LONG_POLL.test(chunk.toString('latin1'))) this.lastPollAt = Date.now();
      store.write(chunk);
    });
    store.on('data', (chunk) => socket.write(chunk));
  }
}
