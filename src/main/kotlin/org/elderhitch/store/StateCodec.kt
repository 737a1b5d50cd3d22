package org.elderhitch.store

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject

/**
 * Converts requests to and responses of the state service to and from their wire format. Decoding functions throw
 * [org.elderhitch.json.MalformedJson].
 */
internal object StateCodec {
    private const val KEY = "k"
    private const val VALUE = "value"
    private const val VERSION = "entryMark"
    private const val REVISION = "ledgerMark"
    private const val LEASE = "permit"
    private const val PUT = "put"
    private const val DROP = "drop"

    /** Encodes a transaction. Throws [IllegalStateException] if a value exceeds [maxValueBytes]. */
    fun encodeCommit(conditions: List<Condition>, writes: List<Write>, maxValueBytes: Int): ByteArray = Json.bytes(
        linkedMapOf(
            "when" to conditions.map { linkedMapOf(KEY to it.key, VERSION to it.version.number) },
            "writes" to writes.map { encodeWrite(it, maxValueBytes) },
        ),
    )

    private fun encodeWrite(write: Write, maxValueBytes: Int): Map<String, Any?> = when (write) {
        is Write.Put -> {
            val size = Json.bytes(write.value).size
            check(size <= maxValueBytes) { "${write.key}: value too large: $size bytes" }
            linkedMapOf<String, Any?>(PUT to write.key, VALUE to write.value).apply {
                write.lease?.let { put(LEASE, it.number) }
            }
        }

        is Write.Drop -> mapOf(DROP to write.key)
    }

    fun decodeCommitted(body: ByteArray): CommitOutcome.Committed =
        CommitOutcome.Committed(Revision(Json.parseObject(body).long(REVISION)))

    fun decodeConflict(body: ByteArray): CommitOutcome.Conflict =
        CommitOutcome.Conflict(Json.parseObject(body).stringsOrNull("failed").orEmpty().toSet())

    fun decodeEntry(body: ByteArray): Entry = toEntry(Json.parseObject(body))

    fun decodePage(body: ByteArray): Page {
        val page = Json.parseObject(body)
        return Page(page.objects("entries").map(::toEntry), page.boolean("more"), Revision(page.long(REVISION)))
    }

    fun decodeChanges(body: ByteArray): WatchOutcome.Changes {
        val changes = Json.parseObject(body)
        return WatchOutcome.Changes(changes.objects("events").map(::toChange), Revision(changes.long(REVISION)))
    }

    fun encodeGrant(ttlMillis: Long): ByteArray = Json.bytes(mapOf("ttlMs" to ttlMillis))

    fun decodeLease(body: ByteArray): LeaseId = LeaseId(Json.parseObject(body).long(LEASE))

    private fun toEntry(from: JsonObject): Entry =
        Entry(from.string(KEY), from.requireObject(VALUE), Revision(from.long(VERSION)))

    private fun toChange(from: JsonObject): Change {
        val version = Revision(from.long(VERSION))
        val key = from.stringOrNull(PUT) ?: return Change.Drop(from.string(DROP), version)
        return Change.Put(Entry(key, from.requireObject(VALUE), version))
    }
}
