package org.elderhitch.sweeps

import com.dynatrace.hash4j.hashing.Hashing
import io.airlift.compress.zstd.ZstdCompressor
import io.airlift.compress.zstd.ZstdDecompressor
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobSpec
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import java.util.Base64

/** A sweep's name, chosen by its user. The job ids of its points are derived from it. */
@JvmInline
public value class SweepId(public val text: String) {
    public fun point(number: Int): JobId = JobId("req-w$text-$number")

    override fun toString(): String = text

    public companion object {
        private val ID_FORMAT = Regex("[a-z0-9]{4,24}")
        private val POINT_ID_FORMAT = Regex("req-w([a-z0-9]{4,24})-(0|[1-9][0-9]{0,5})")

        public fun parse(text: String): SweepId? = if (ID_FORMAT.matches(text)) SweepId(text) else null

        /** The sweep and the point's number of a job id; null if the job is not a point of a sweep. */
        public fun ofPoint(id: JobId): Pair<SweepId, Int>? =
            POINT_ID_FORMAT.matchEntire(id.text)?.destructured?.let { (sweep, number) ->
                SweepId(sweep) to
                    number.toInt()
            }
    }
}

/** What happens to a sweep with malformed points: it is refused, or those points are skipped. */
public enum class OnBad { REFUSE, SKIP }

/** A sweep as its user described it: the template, the points and the options. Stored once and never changed. */
public class Description(
    public val template: Template,
    private val raw: JsonObject,
    public val points: Points,
    public val onBad: OnBad,
    public val atOnce: Int,
) {
    /** The job that a point becomes. Throws [BadPoint]. */
    public fun job(sweep: SweepId, point: Int): JobSpec = template.job(sweep.point(point), points.values(point))

    /** The body that a point's job would be submitted with. Throws [BadPoint]. */
    public fun body(sweep: SweepId, point: Int): Map<String, Any?> =
        template.body(sweep.point(point), points.values(point))

    /** The description as compressed JSON. */
    public fun pack(): ByteArray = compress(
        Json.bytes(
            linkedMapOf(
                "v" to VERSION,
                "params" to raw.raw("params"),
                "job" to raw.raw("job"),
                "points" to points.encode(),
                "on_bad" to onBad.name.lowercase(),
                "at_once" to atOnce,
            ),
        ),
    )

    public companion object {
        private const val VERSION = 1L
        private const val DEFAULT_AT_ONCE = 200
        public const val MAX_AT_ONCE: Int = 5000
        private const val MAX_UNPACKED_BYTES = 6 * 1024 * 1024
        private val FIELDS = setOf("name", "params", "job", "points", "on_bad", "at_once", "seed", "v")

        /** [points]: replaces the points in [from], which may then name their source only. Throws [BadTemplate]. */
        public fun parse(from: JsonObject, points: Points? = null): Description = try {
            from.names.firstOrNull {
                it !in FIELDS
            }?.let { throw BadTemplate("$it: unknown; known are ${FIELDS.sorted()}") }
            val onBad = from.stringOrNull("on_bad")?.let { word ->
                OnBad.entries.firstOrNull {
                    it.name.lowercase() ==
                        word
                }
                    ?: throw BadTemplate("on_bad: $word is neither refuse nor skip")
            }
            val atOnce = from.longOrNull("at_once") ?: DEFAULT_AT_ONCE.toLong()
            if (atOnce !in 1..MAX_AT_ONCE) throw BadTemplate("at_once: not from 1 to $MAX_AT_ONCE")
            Description(
                Template.parse(from.objectOrNull("params"), from.requireObject("job")),
                JsonObject.of(mapOf("params" to from.raw("params"), "job" to from.raw("job"))),
                points ?: Points.decode(from.requireObject("points")),
                onBad ?: OnBad.REFUSE,
                atOnce.toInt(),
            )
        } catch (e: MalformedJson) {
            throw BadTemplate(e.message.orEmpty(), e)
        }

        /** Throws [BadTemplate] for bytes that [pack] did not produce. */
        public fun unpack(packed: ByteArray): Description {
            val json = try {
                Json.parseObject(decompress(packed))
            } catch (e: MalformedJson) {
                throw BadTemplate("the description is ${e.message}", e)
            }
            if (json.raw("v") != VERSION) {
                throw BadTemplate("the description has format ${json.raw("v")}; only format $VERSION is supported")
            }
            return parse(json)
        }

        private fun compress(bytes: ByteArray): ByteArray {
            val compressor = ZstdCompressor()
            val out = ByteArray(compressor.maxCompressedLength(bytes.size))
            return out.copyOf(compressor.compress(bytes, 0, bytes.size, out, 0, out.size))
        }

        private fun decompress(packed: ByteArray): ByteArray = try {
            val decompressor = ZstdDecompressor()
            val size = ZstdDecompressor.getDecompressedSize(packed, 0, packed.size)
            // The size comes from the sender, so it is bounded before that much memory is allocated.
            if (size !in 1..MAX_UNPACKED_BYTES) throw BadTemplate("the description would be $size bytes")
            val out = ByteArray(size.toInt())
            if (decompressor.decompress(packed, 0, packed.size, out, 0, out.size) != out.size) {
                throw BadTemplate("the description is cut short")
            }
            out
        } catch (e: io.airlift.compress.MalformedInputException) {
            throw BadTemplate("the description can't be unpacked: ${e.message}", e)
        }

        /** A checksum of the packed description: identifies its content and detects corruption. */
        public fun sum(packed: ByteArray): String =
            java.lang.Long.toHexString(Hashing.xxh3_64().hashBytesToLong(packed))
    }
}

/** Splits a packed description into base64 parts that fit the state service's values, and joins them again. */
public object Parts {
    /** Leaves room in a value for the JSON around a part's base64 text. */
    private const val VALUE_OVERHEAD_BYTES = 512
    private const val BASE64_GROUP_BYTES = 3
    private const val BASE64_GROUP_CHARS = 4
    public const val MAX: Int = 512

    public fun split(packed: ByteArray, valueBytes: Int): List<String> {
        val bytesPerPart = (valueBytes - VALUE_OVERHEAD_BYTES) / BASE64_GROUP_CHARS * BASE64_GROUP_BYTES
        return (packed.indices step bytesPerPart).map {
            Base64.getEncoder().encodeToString(packed.copyOfRange(it, minOf(it + bytesPerPart, packed.size)))
        }
    }

    /** Null if a part is not valid base64, so that [split] can't have made it. */
    public fun join(parts: List<String>): ByteArray? = try {
        val out = java.io.ByteArrayOutputStream()
        parts.forEach { out.write(Base64.getDecoder().decode(it)) }
        out.toByteArray()
    } catch (_: IllegalArgumentException) {
        null
    }
}
