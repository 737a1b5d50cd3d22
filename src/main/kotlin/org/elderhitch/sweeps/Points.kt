package org.elderhitch.sweeps

import org.elderhitch.json.JsonObject
import java.math.BigDecimal

/** The points of a sweep, numbered from 0. Each point can be computed without those before it. */
public sealed interface Points {
    public val count: Int

    /**
     * The parameter values of a point; the template converts texts to the parameters' types. Throws [BadPoint] for a
     * row that does not have one field per column.
     */
    public fun values(point: Int): Map<String, Any?>

    public fun encode(): Map<String, Any?>

    public companion object {
        public const val MAX: Int = 100_000

        /** Throws [BadTemplate]. */
        public fun decode(from: JsonObject): Points = when {
            from.has("grid") -> Grid.parse(from.requireObject("grid"))
            from.has("columns") -> Table.decode(from)
            else -> throw BadTemplate("points: neither a grid nor a table")
        }
    }
}

/**
 * The Cartesian product of axes. An axis holds the values of one parameter, or of several parameters that vary together
 * (a zip). The last axis varies fastest.
 */
public class Grid private constructor(private val axes: List<Axis>) : Points {
    /** [at] returns the values at an index of the axis; [source] is the axis as the user wrote it, and is stored so. */
    private class Axis(val names: List<String>, val size: Int, val source: Any, val at: (Int) -> List<Any?>)

    override val count: Int = axes.fold(1L) { product, axis ->
        minOf(product * axis.size, Points.MAX + 1L)
    }.toInt()

    init {
        if (count > Points.MAX) throw BadTemplate("points.grid: more than ${Points.MAX} points")
    }

    override fun values(point: Int): Map<String, Any?> {
        require(point in 0 until count) { "point $point of $count" }
        val values = HashMap<String, Any?>()
        var rest = point
        for (axis in axes.asReversed()) {
            val row = axis.at(rest % axis.size)
            rest /= axis.size
            axis.names.forEachIndexed { n, name -> values[name] = row[n] }
        }
        return values
    }

    override fun encode(): Map<String, Any?> = mapOf(
        "grid" to axes.associate {
            it.names.joinToString(",") to it.source
        },
    )

    public companion object {
        private val RANGE = Regex("\\s*(-?[0-9.]+)\\s*\\.\\.\\s*(-?[0-9.]+)\\s*(?:step\\s+(-?[0-9.]+)\\s*)?")

        /**
         * Parses an object of axes: `"threshold": "0.1 .. 0.9 step 0.1"`, `"lake": ["tana", "ziway"]`, and for a zip
         * `"lake,tasks": [["tana", 4], ["ziway", 2]]`. Throws [BadTemplate].
         */
        public fun parse(from: JsonObject): Grid {
            val axes = from.names.map { key -> axis(key.split(',').map { it.trim() }, from.raw(key)) }
            if (axes.isEmpty()) throw BadTemplate("points.grid: has no axis")
            val names = axes.flatMap { it.names }
            names.groupBy {
                it
            }.entries.firstOrNull {
                it.value.size > 1
            }?.let { throw BadTemplate("points.grid: ${it.key} is on two axes") }
            return Grid(axes)
        }

        private fun axis(names: List<String>, value: Any?): Axis {
            val key = names.joinToString(",")
            if (value is String && names.size == 1) return range(key, value)
            if (value !is List<*>) {
                throw BadTemplate(
                    "points.grid.$key: must be a list, or a range like \"0.1 .. 0.9 step 0.1\"",
                )
            }
            if (value.isEmpty()) throw BadTemplate("points.grid.$key: empty")
            if (value.size > Points.MAX) throw BadTemplate("points.grid.$key: more than ${Points.MAX} values")
            val zipped = names.size > 1
            for (entry in value) {
                val row = if (zipped) {
                    (entry as? List<*>)?.takeIf { it.size == names.size }
                        ?: throw BadTemplate("points.grid.$key: each entry must be a list of ${names.size}")
                } else {
                    listOf(entry)
                }
                if (row.any { it == null || it is List<*> || it is Map<*, *> }) {
                    throw BadTemplate("points.grid.$key: each value must be a text, a number, true or false")
                }
            }
            return Axis(names, value.size, value) { n -> if (zipped) value[n] as List<*> else listOf(value[n]) }
        }

        /** Steps in decimal arithmetic: 0.1 .. 0.9 step 0.1 has nine values, and the last is exactly 0.9. */
        private fun range(key: String, text: String): Axis {
            val parts =
                RANGE.matchEntire(text)?.groupValues
                    ?: throw BadTemplate(
                        "points.grid.$key: \"${text.take(MAX_QUOTED)}\" is not a range like \"0.1 .. 0.9 step 0.1\"",
                    )
            val (first, last, step) = try {
                val (from, to, by) = parts.drop(1)
                Triple(BigDecimal(from), BigDecimal(to), if (by.isEmpty()) BigDecimal.ONE else BigDecimal(by))
            } catch (_: NumberFormatException) {
                throw BadTemplate("points.grid.$key: \"${text.take(MAX_QUOTED)}\" has a malformed number")
            }
            if (step.signum() == 0 || (last - first).signum() * step.signum() < 0) {
                throw BadTemplate("points.grid.$key: a step of $step never leads from $first to $last")
            }
            val steps = (last - first).divideToIntegralValue(step)
            if (steps >= BigDecimal(Points.MAX)) throw BadTemplate("points.grid.$key: more than ${Points.MAX} values")
            val whole = listOf(first, step).all { it.stripTrailingZeros().scale() <= 0 }
            return Axis(listOf(key), steps.toInt() + 1, text) { n ->
                listOf((first + step * BigDecimal(n)).let { if (whole) it.toLong() else it.toDouble() })
            }
        }

        private const val MAX_QUOTED = 40
    }
}

/** Rows of texts under named columns, kept in one byte array so that a value costs only a few bytes of memory. */
public class Table private constructor(
    public val columns: List<String>,
    private val text: ByteArray,
    private val starts: IntArray,
) : Points {
    override val count: Int get() = starts.size - 1

    override fun values(point: Int): Map<String, Any?> {
        val row = row(point)
        if (row.size != columns.size) {
            throw BadPoint(
                columns.getOrElse(row.size) { "row" },
                if (row.size < columns.size) {
                    "the row is cut short"
                } else {
                    "the row has ${row.size} values for ${columns.size} columns"
                },
            )
        }
        // An empty field is a missing value: the parameter's default applies.
        return columns.indices.filter { row[it].isNotEmpty() }.associate { columns[it] to row[it] }
    }

    private fun row(point: Int): List<String> =
        String(text, starts[point], starts[point + 1] - 1 - starts[point]).split(FIELD_SEPARATOR)

    override fun encode(): Map<String, Any?> = mapOf("columns" to columns, "rows" to text.decodeToString())

    public companion object {
        private const val ROW_SEPARATOR = '\n'
        private const val FIELD_SEPARATOR = '\t'
        public const val MAX_BYTES: Int = 4 * 1024 * 1024

        /** Takes rows one by one, so that a file that is too large is never held in full. Throws [BadTemplate]. */
        public class Builder(private val columns: List<String>) {
            private val text = java.io.ByteArrayOutputStream()
            private val starts = it.unimi.dsi.fastutil.ints.IntArrayList()

            init {
                if (columns.isEmpty() || columns.any { it.isBlank() }) {
                    throw BadTemplate("columns: a column has no name")
                }
                columns.groupBy {
                    it
                }.entries.firstOrNull {
                    it.value.size > 1
                }?.let { throw BadTemplate("columns: ${it.key} stands twice") }
            }

            public fun add(row: List<String>) {
                if (starts.size >= Points.MAX) throw BadTemplate("more than ${Points.MAX} points")
                // Control characters separate rows and fields in the text, so those in a value become spaces. The
                // template's text parameters refuse them anyway.
                val line =
                    row.joinToString(FIELD_SEPARATOR.toString()) { field ->
                        field.map {
                            if (it < ' ') {
                                ' '
                            } else {
                                it
                            }
                        }.joinToString("")
                    } +
                        ROW_SEPARATOR
                starts.add(text.size())
                text.write(line.encodeToByteArray())
                if (text.size() > MAX_BYTES) throw BadTemplate("the points are more than $MAX_BYTES bytes")
            }

            public fun build(): Table {
                if (starts.isEmpty) throw BadTemplate("points: none given")
                return Table(columns, text.toByteArray(), (starts + text.size()).toIntArray())
            }
        }

        /** Throws [BadTemplate]. */
        public fun decode(from: JsonObject): Table {
            val columns = from.stringsOrNull("columns") ?: throw BadTemplate("columns: missing")
            val rows = from.stringOrNull("rows") ?: throw BadTemplate("rows: missing")
            if (rows.length > MAX_BYTES) throw BadTemplate("rows: more than $MAX_BYTES bytes")
            val builder = Builder(columns)
            rows.removeSuffix(ROW_SEPARATOR.toString()).split(ROW_SEPARATOR).forEach {
                builder.add(it.split(FIELD_SEPARATOR))
            }
            return builder.build()
        }
    }
}
