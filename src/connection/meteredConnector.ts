import { buildConnector } from 'undici';
import type SocketMeter from './SocketMeter';

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * @param meter - Counts the bytes of every connected socket.
 * @param timeoutMs - Connect timeout in milliseconds.
 * @returns Connect function for an undici agent.
 */
export default function meteredConnector(
  meter: SocketMeter,
  timeoutMs = CONNECT_TIMEOUT_MS,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (...result) => {
      if (result[1]) meter.track(result[1]);
      callback(...result);
    });
}
