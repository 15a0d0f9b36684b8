import { createHash, randomUUID } from 'node:crypto';
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  utimesSync,
} from 'node:fs';
import { join } from 'node:path';

/** Age from which leftovers and installations that no build used are removed, in milliseconds; no build runs that long. */
const KEPT_MS = 3_600_000;
/** Names of the folders of this class, unfinished ones too. */
const NAME_PATTERN = /^packages-[0-9a-f-]+(\.unfinished)?$/;
/** Digits of the hash in a name. */
const KEY_DIGITS = 16;

/**
 * Folders `packages-KEY` with installed packages, which builds at the same time share. A folder is written under a name of its
 * own and renamed when it is complete; from then on its content does not change.
 */
export class PackageFolders {
  #parent;
  #name;

  /**
   * @param parent - Folder that receives the folders.
   * @param lockFile - Path of the lock file; other versions, kinds of machine or versions of Node.js have another key.
   */
  constructor(parent, lockFile) {
    const parts = [readFileSync(lockFile, 'utf8'), process.platform, process.arch, process.versions.modules];
    const key = createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, KEY_DIGITS);
    this.#parent = parent;
    this.#name = `packages-${key}`;
  }

  /** Returns the newest complete folder of this lock file, if there is one. */
  find() {
    return this.#list()
      .filter(({ name }) => name.startsWith(this.#name) && !name.endsWith('.unfinished'))
      .sort((a, b) => b.modifiedMs - a.modifiedMs)
      .map(({ path }) => path)[0];
  }

  /**
   * Adds a folder, unless another build adds one first.
   * @param install - Fills an empty folder.
   * @param damaged - Folder whose packages do not work, which is not taken.
   * @returns The folder, complete.
   */
  async add(install, damaged) {
    const unfinished = join(this.#parent, `packages-${randomUUID()}.unfinished`);
    try {
      mkdirSync(unfinished, { recursive: true });
      await install(unfinished);
      const path = join(this.#parent, damaged === undefined ? this.#name : `${this.#name}-${randomUUID()}`);
      try {
        renameSync(unfinished, path);
      } catch (error) {
        if (!existsSync(path)) {
          throw error;
        }
      }
      return path;
    } finally {
      rmSync(unfinished, { recursive: true, force: true });
    }
  }

  /**
   * Removes what earlier builds left and nothing uses.
   * @param used - Folder that this build used.
   */
  removeOld(used) {
    try {
      const now = new Date();
      utimesSync(used, now, now);
      for (const { path, modifiedMs } of this.#list()) {
        if (now.getTime() - modifiedMs > KEPT_MS) {
          rmSync(path, { recursive: true, force: true });
        }
      }
    } catch (error) {
      // Another build may remove the same; the program is complete anyway.
      console.error(`Leftovers of earlier builds were not removed: ${error.message}`);
    }
  }

  #list() {
    const names = existsSync(this.#parent) ? readdirSync(this.#parent) : [];
    return names
      .filter((name) => NAME_PATTERN.test(name))
      .map((name) => ({ name, path: join(this.#parent, name) }))
      .map((entry) => ({
        ...entry,
        modifiedMs: statSync(entry.path, { throwIfNoEntry: false })?.mtimeMs ?? NaN,
      }))
      .filter(({ modifiedMs }) => !Number.isNaN(modifiedMs));
  }
}
