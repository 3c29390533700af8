/**
 * Waits for the first of several attempts that succeeds.
 *
 * @param attempts - Results of the attempts; each handles its own errors.
 * @returns True as soon as one attempt resolves to true, or false once none of them can.
 */
export default async function anyTrue(attempts: readonly Promise<boolean>[]): Promise<boolean> {
  try {
    return await Promise.any(
      attempts.map(async (attempt) => {
        if (!(await attempt)) throw new Error('the attempt failed');
        return true;
      }),
    );
  } catch {
    return false;
  }
}
