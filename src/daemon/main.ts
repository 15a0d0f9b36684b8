#!/usr/bin/env node
import { lifecycle } from './daemonProcess.js';

// Static imports are loaded before the first statement runs; a signal in that time would end the process.
const { Builtins, Cli } = await import('clipanion');
const { DaemonCommand } = await import('./DaemonCommand.js');

const cli = new Cli({ binaryLabel: 'monsoongladed', binaryName: 'monsoongladed', binaryVersion: '0.1.0' });
cli.register(DaemonCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
const code = await cli.run(process.argv.slice(2), Cli.defaultContext);
await lifecycle.exit(code === 0 ? 'command completed' : 'command failed', code);
