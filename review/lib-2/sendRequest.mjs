import { request as httpRequest } from 'node:http'

/** Sends one request as a client does, on a connection of its own. Resolves to status 0 if there is no answer. */
export async function sendRequest ({ port, method = 'GET', path, host, id, deadlineMs, body, key }) {
  return await new Promise(resolve => {
    const headers = {
      host,
      'x-carobpitch-attempt-id': id,
      'x-carobpitch-deadline-ms': String(deadlineMs),
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) })
    }
    const request = httpRequest({ host: '127.0.0.1', port, method, path, headers, agent: false }, response => {
      const pieces = []
      response.on('data', piece => pieces.push(piece))
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode, isComplete: response.complete, body: Buffer.concat(pieces).toString(), headers: response.headers }))
    })
    request.on('error', error => resolve({ status: 0, error: error.code ?? error.message }))
    request.end(body)
  })
}
