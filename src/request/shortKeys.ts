import rendezvousWeight from '../common/rendezvousWeight';

/**
 * Creates a function that returns short keys for names, so that messages needn't contain the names.
 *
 * @param role - What the names are of; part of the hash input.
 * @param count - Number of different keys.
 * @returns Function that returns the key of a name, the same at all daemons; it remembers each.
 */
export default function shortKeys<Name extends string>(
  role: string,
  count: number,
): (name: Name) => number {
  const keys = new Map<Name, number>();
  return (name) => {
    let key = keys.get(name);
    if (key === undefined) {
      key = rendezvousWeight(role, name) % count;
      keys.set(name, key);
    }
    return key;
  };
}
