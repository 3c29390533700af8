// Renders deploy/settings.toml as the platform does: values, and sections for lists.
import { readFileSync } from 'node:fs';

function lookUp(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

function format(value) {
  return Array.isArray(value) ? value.join(',') : String(value ?? '');
}

function renderSection(inner, list) {
  return list
    .map((item, index) =>
      inner
        .replaceAll('{{.}}', String(item))
        .replaceAll('{{,}}', index < list.length - 1 ? ',' : ''),
    )
    .join('');
}

/**
 * Renders the settings template of the deploy file.
 *
 * @param {string} template - Path of the template.
 * @param {object} fields - Fields of the platform's settings, nested.
 * @returns {string} The settings of one process.
 */
export default function renderSettings(template, fields) {
  return readFileSync(template, 'utf8')
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_match, path, inner) =>
      renderSection(inner, lookUp(fields, path) ?? []),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_match, path) => format(lookUp(fields, path)));
}
