import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DaemonId, VersionNumber } from '../common/Types';
import GossipMeter from './GossipMeter';
import Outbox from './Outbox';

test('a version is news only to a peer that told of no such version', () => {
  const outbox = new Outbox('peer' as DaemonId, new GossipMeter());
  const seen = [null, 3, 2, 3, 4].map((version) => outbox.isNews(version as VersionNumber | null));
  outbox.noteVersion(3 as VersionNumber);
  outbox.noteVersion(2 as VersionNumber);
  const after = [null, 3, 2, 3, 4].map((version) => outbox.isNews(version as VersionNumber | null));
  assert.equal(
    { seen, after },
    {
      seen: [false, true, true, true, true],
      after: [false, false, false, false, true],
    },
  );
});

test.run();
