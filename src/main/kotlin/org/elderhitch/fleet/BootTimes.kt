package org.elderhitch.fleet

/**
 * How long machines lately took to boot, as multiples of the time that the cloud states for their type.
 *
 * Some machines never come up and are charged all the same. The limit after which a machine is given up follows the
 * slowest of the recent boots, so that it moves with a slow hour of the cloud.
 */
public class BootTimes {
    private val recent = ArrayDeque<Double>()

    /** After which multiple a machine that is not up is given up and terminated. */
    public val hopelessMultiple: Double
        get() =
            if (recent.size < MIN_SAMPLES) {
                DEFAULT_HOPELESS_MULTIPLE
            } else {
                (recent.max() * HOPELESS_MARGIN).coerceIn(MIN_HOPELESS_MULTIPLE, DEFAULT_HOPELESS_MULTIPLE)
            }

    /**
     * After which multiple a machine counts as late, so that another is provisioned in its place.
     *
     * While no machine came up at all ([anyUp] is false), or all come up late, the cloud is slow and a replacement
     * would come later still: at two and a half times the usual boot time, a whole fleet was provisioned twice.
     */
    public fun lateMultiple(anyUp: Boolean): Double = when {
        !anyUp -> DEFAULT_HOPELESS_MULTIPLE

        recent.isEmpty() -> DEFAULT_LATE_MULTIPLE

        else -> (recent.sorted()[recent.size / 2] * DEFAULT_LATE_MULTIPLE).coerceIn(
            DEFAULT_LATE_MULTIPLE,
            DEFAULT_HOPELESS_MULTIPLE,
        )
    }

    /** A machine came up after that multiple of its usual boot time. */
    public fun add(multiple: Double) {
        recent.addLast(multiple)
        if (recent.size > MAX_SAMPLES) recent.removeFirst()
    }

    public companion object {
        /** The multiple at which a machine is late while nothing is known of recent boots. */
        public const val DEFAULT_LATE_MULTIPLE: Double = 2.0

        /** The multiple at which a machine is given up while little is known of recent boots, and at the latest. */
        public const val DEFAULT_HOPELESS_MULTIPLE: Double = 3.5
        private const val MIN_HOPELESS_MULTIPLE = 2.0
        private const val HOPELESS_MARGIN = 1.25
        private const val MIN_SAMPLES = 10
        private const val MAX_SAMPLES = 40
    }
}
