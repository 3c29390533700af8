import SeededRandom from '../src/common/SeededRandom';
import AdaptiveThrottle from '../src/request/AdaptiveThrottle';
import ManualClock from './ManualClock';

/** @returns The throttle of a route without calls, which rejects none. */
export default function createThrottle(): AdaptiveThrottle {
  return new AdaptiveThrottle(new ManualClock(), new SeededRandom(1));
}
