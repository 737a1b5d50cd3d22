package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.http.Transport
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Notifies the other controllers of the cancellations recorded by this node: without delay, once, and without waiting
 * for a response. A leader that can't use the state service learns of them this way, and stops their tasks seconds or
 * even a lease earlier. Delivery is best effort: a node that misses a broadcast learns of the cancellation from the
 * state service.
 */
internal class TerminalStateBroadcaster(
    private val scope: CoroutineScope,
    private val self: NodeName,
    private val peers: List<Peer>,
    private val transport: Transport,
) {
    private val log = LoggerFactory.getLogger("elderhitch.cluster")
    private var pendingNotices = ArrayList<TerminalStateNotice>()

    /** Sends the terminal state in one batch with those that follow within [BATCH_DELAY]. */
    fun broadcast(id: JobId, record: TerminalRecord) {
        pendingNotices.add(TerminalStateNotice(id.text, Json.bytes(record.encode())))
        if (pendingNotices.size > 1 || peers.isEmpty()) return
        scope.launch {
            delay(BATCH_DELAY)
            val batch = pendingNotices
            pendingNotices = ArrayList()
            batch.chunked(MAX_NOTICES_PER_BROADCAST).forEach(::send)
        }
    }

    private fun send(notices: List<TerminalStateNotice>) {
        val message = TerminalStateBroadcast(self.text, notices)
        val body = PeerCodec.encode(TerminalStateBroadcast.serializer(), message)
        peers.forEach { peer -> scope.launch { transport.call(peer.address, "POST", PATH, body, SEND_TIMEOUT) } }
    }

    /** Passes the terminal states of a peer's broadcast to [receiver]. */
    fun receive(request: Request, receiver: (Map<JobId, TerminalRecord>) -> Unit): Response {
        val message = PeerCodec.decode(TerminalStateBroadcast.serializer(), request.body)
            ?: return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "malformed terminal state broadcast")
        if (peers.none { it.name == NodeName(message.node) }) {
            log.info("terminal state ignored node={} reason=\"no such controller\"", message.node)
            return HttpServer.errorResponse(HttpStatus.BAD_REQUEST, "no such controller")
        }
        receiver(decodeRecords(message))
        return PeerCodec.respond(ByteArray(0))
    }

    /** Decodes the records of a broadcast. Malformed ones are logged and skipped. */
    private fun decodeRecords(message: TerminalStateBroadcast): Map<JobId, TerminalRecord> {
        val records = LinkedHashMap<JobId, TerminalRecord>()
        for (notice in message.notices) {
            val id = JobId.parse(notice.job)
            val record = decodeRecord(notice)
            if (id == null || record == null) {
                val job = id?.text ?: "none"
                log.info("terminal state ignored node={} job={} reason=malformed", message.node, job)
            } else {
                records[id] = record
            }
        }
        return records
    }

    private fun decodeRecord(notice: TerminalStateNotice): TerminalRecord? = try {
        TerminalRecord.decode(Json.parseObject(notice.record))
    } catch (_: MalformedJson) {
        null
    }

    companion object {
        const val PATH = "/cluster/ended"

        /** Keeps the body below its limit of 64 KiB; a notice takes a few hundred bytes. */
        private const val MAX_NOTICES_PER_BROADCAST = 50
        private val BATCH_DELAY = 20.milliseconds
        private val SEND_TIMEOUT = 1.seconds
    }
}
