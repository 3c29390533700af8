import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DaemonId, VersionNumber } from '../common/Types';
import GossipMeter from './GossipMeter';
import Outbox from './Outbox';

test('a version counts as newer only if it exceeds the highest version reported by the peer', () => {
  const outbox = new Outbox('peer' as DaemonId, new GossipMeter());
  const seen = [null, 3, 2, 3, 4].map((version) =>
    outbox.isNewerThanPeer(version as VersionNumber | null),
  );
  outbox.recordPeerVersion(3 as VersionNumber);
  outbox.recordPeerVersion(2 as VersionNumber);
  const after = [null, 3, 2, 3, 4].map((version) =>
    outbox.isNewerThanPeer(version as VersionNumber | null),
  );
  assert.equal(
    { seen, after },
    {
      seen: [false, true, true, true, true],
      after: [false, false, false, false, true],
    },
  );
});

test.run();
