import { test } from 'uvu';
import * as assert from 'uvu/assert';
import waitEventLoopTurns from '../common/waitEventLoopTurns';
import type { Clock, FileName, VersionNumber } from '../common/Types';
import { SCHEMA_NUMBER } from './configurationSchema';
import { folderDigest } from './folder';
import { mergeSteps } from './mergeFolder';
import type { Folder, Head } from './Types';
import VersionStore from './VersionStore';

const ROUTES = 1_600;

/** Clock that advances by one millisecond each time it is read. */
class TickingClock implements Clock {
  private ticks = 0;

  public now(): number {
    this.ticks += 1;
    return this.ticks;
  }
}

function manyRoutes(): Folder {
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `30-${String(index).padStart(5, '0')}.toml` as FileName,
    content: `[route.r-${index}]\nservice = "stock"\npath = "/r-${index}/"\n`,
  }));
  return [{ name: '20.toml' as FileName, content: '[service.stock]\n' }, ...routes];
}

function headOf(folder: Folder): Head {
  return {
    schema: SCHEMA_NUMBER,
    version: 1 as VersionNumber,
    publicationId: 'first' as Head['publicationId'],
    digest: folderDigest(folder),
    folder,
  };
}

test('other work runs while a large version is validated', async () => {
  const versions = new VersionStore(mergeSteps, new TickingClock());
  const head = headOf(manyRoutes());
  let turns = 0;
  let prepared = false;
  const preparing = versions.prepare(head).then(() => {
    prepared = true;
  });
  while (!prepared) {
    await waitEventLoopTurns(1);
    turns += 1;
  }
  await preparing;
  // Three steps for 16 routes, and eight looks at the clock, one a step, for each whole slice.
  assert.ok(turns >= Math.floor((3 * ROUTES) / (16 * 8)), `${turns} turns`);
  assert.is(versions.snapshot, undefined);
  assert.is(versions.activate(head), true);
  assert.is(versions.snapshot?.match('GET', 'any', '/r-1599/x')?.name, 'r-1599');
});

test.run();
