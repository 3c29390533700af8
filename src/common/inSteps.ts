import type { Steps } from './Types';

/** Number of items in a step; a step for each item would cost more than many an item. */
const ITEMS_PER_STEP = 16;

/**
 * Handles items in steps of several.
 *
 * @param items - The items.
 * @param handle - Handles one item.
 */
export default function* inSteps<Item>(
  items: Iterable<Item>,
  handle: (item: Item) => void,
): Steps<void> {
  let count = 0;
  for (const item of items) {
    handle(item);
    count += 1;
    if (count % ITEMS_PER_STEP === 0) yield;
  }
}
