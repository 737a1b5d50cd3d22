package org.elderhitch.cluster

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import org.elderhitch.http.Transport
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.json.Json
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.Peer
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Endings that a controller has just recorded, for the others. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateBroadcast(
    @ProtoNumber(1) public val node: String,
    @ProtoNumber(2) public val endings: List<TerminalStateNotice> = emptyList(),
)

/** [record]: as it stands in the state service. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateNotice(@ProtoNumber(1) public val job: String, @ProtoNumber(2) public val record: ByteArray)

/**
 * Tells the other controllers at once which withdrawals were recorded here, once and without waiting for an answer: a
 * leader that the state service refuses alone hears of
 * them so, and stops the tasks seconds or a lease sooner. No rule rests on it; whoever misses it learns from the state
 * service.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class TerminalStateBroadcaster(
    private val scope: CoroutineScope,
    private val self: String,
    private val peers: List<Peer>,
    private val transport: Transport,
) {
    private val log = LoggerFactory.getLogger("elderhitch.cluster")
    private var waiting = ArrayList<TerminalStateNotice>()

    fun tell(id: JobId, record: TerminalRecord) {
        waiting.add(TerminalStateNotice(id.text, Json.bytes(record.encode())))
        if (waiting.size > 1 || peers.isEmpty()) return
        scope.launch {
            delay(GATHER)
            val told = waiting
            waiting = ArrayList()
            for (part in told.chunked(MOST_AT_ONCE)) {
                val body = ProtoBuf.encodeToByteArray(
                    TerminalStateBroadcast.serializer(),
                    TerminalStateBroadcast(self, part),
                )
                peers.forEach { peer -> scope.launch { transport.call(peer.address, "POST", PATH, body, TIMEOUT) } }
            }
        }
    }

    /** What another controller tells; a record that can't be read is left out and logged. */
    fun heard(news: TerminalStateBroadcast): Map<JobId, TerminalRecord> {
        val read = LinkedHashMap<JobId, TerminalRecord>()
        for (told in news.endings) {
            val record = try {
                TerminalRecord.decode(Json.parseObject(told.record))
            } catch (_: MalformedJson) {
                null
            }
            val id = JobId.parse(told.job)
            if (id == null ||
                record == null
            ) {
                log.info("ending ignored node={} job={} reason=malformed", news.node, id?.text ?: "none")
            } else {
                read[id] =
                    record
            }
        }
        return read
    }

    companion object {
        const val PATH = "/cluster/ended"

        /** An account takes some hundred bytes, a body 64 KiB at most. */
        private const val MOST_AT_ONCE = 50
        private val GATHER = 20.milliseconds
        private val TIMEOUT = 1.seconds
    }
}
