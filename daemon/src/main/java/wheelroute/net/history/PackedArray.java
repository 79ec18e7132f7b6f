package wheelroute.net.history;

/** An array of unsigned integers of equal width, stored without gaps. Not thread-safe. */
final class PackedArray {
    private static final int WORD_SHIFT = 6;
    private static final int BIT_MASK = Long.SIZE - 1;

    private final int bitsPerValue;
    private final long valueMask;
    private final long[] words;

    /**
     * Creates an array of zeros.
     *
     * @param bitsPerValue the width of each value, 1 to 63
     */
    PackedArray(int size, int bitsPerValue) {
        this(bitsPerValue, new long[(int) (((long) size * bitsPerValue + BIT_MASK) / Long.SIZE)]);
    }

    private PackedArray(int bitsPerValue, long[] words) {
        this.bitsPerValue = bitsPerValue;
        valueMask = (1L << bitsPerValue) - 1;
        this.words = words;
    }

    long get(int index) {
        long bit = (long) index * bitsPerValue;
        int word = (int) (bit >>> WORD_SHIFT);
        int shift = (int) (bit & BIT_MASK);
        long value = words[word] >>> shift;
        if (shift + bitsPerValue > Long.SIZE) {
            value |= words[word + 1] << (Long.SIZE - shift);
        }
        return value & valueMask;
    }

    void set(int index, long value) {
        long bit = (long) index * bitsPerValue;
        int word = (int) (bit >>> WORD_SHIFT);
        int shift = (int) (bit & BIT_MASK);
        words[word] = (words[word] & ~(valueMask << shift)) | (value << shift);
        if (shift + bitsPerValue > Long.SIZE) {
            int written = Long.SIZE - shift;
            words[word + 1] = (words[word + 1] & ~(valueMask >>> written)) | (value >>> written);
        }
    }

    PackedArray copy() {
        return new PackedArray(bitsPerValue, words.clone());
    }
}
