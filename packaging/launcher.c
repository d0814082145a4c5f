/*
 * Launcher of the single-file binary.
 *
 * The file consists of this program, a tar archive (ustar, gzip-compressed
 * when zlib is linked) and a trailer. The launcher unpacks the archive to
 * <directory>/nutmegstep-<digest> and replaces itself by the program there,
 * so that no child process exists. A directory that is already complete is
 * used as it is: it appears under its final name only after unpacking.
 */
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#ifndef PLAIN_ARCHIVE
#include <zlib.h>
#endif

#define DIRECTORY_VARIABLE "NUTMEGSTEP_UNPACK_DIR"
#define DEFAULT_DIRECTORY "/tmp"
#define PROGRAM "nutmegstep"
#define MAGIC "NUTMEGPK"
#define BLOCK 512
#define DIGEST_CHARACTERS 16
#define DIGITS 20
/* Magic, digest of the archive and its length in decimal digits. */
#define TRAILER_BYTES (8 + DIGEST_CHARACTERS + DIGITS)
#define READ_BYTES 65536
#define OPEN_FILES 16

struct header {
    char name[100], mode[8], uid[8], gid[8], size[12], mtime[12], sum[8];
    char type, link[100], magic[8], user[32], group[32], major[8], minor[8];
    char prefix[155], padding[12];
};

/* Directory being unpacked; empty when there is none. */
static char partial[PATH_MAX];

static int remove_entry(const char *path, const struct stat *status, int type,
                        struct FTW *position)
{
    (void)status;
    (void)type;
    (void)position;
    return remove(path);
}

/* The file system is in memory: what is left behind would take memory. */
static void remove_partial(void)
{
    if (partial[0] != '\0')
        nftw(partial, remove_entry, OPEN_FILES, FTW_DEPTH | FTW_PHYS);
}

static void fail(const char *format, ...)
{
    va_list arguments;
    int cause = errno;

    va_start(arguments, format);
    fputs("nutmegstep launcher: ", stderr);
    vfprintf(stderr, format, arguments);
    va_end(arguments);
    fprintf(stderr, ": %s\n", strerror(cause));
    remove_partial();
    exit(127);
}

#ifdef PLAIN_ARCHIVE
static int archive_file;

static void open_archive(int file)
{
    archive_file = file;
}

static size_t read_archive(void *buffer, size_t size)
{
    size_t done = 0;

    while (done < size) {
        ssize_t count = read(archive_file, (char *)buffer + done, size - done);
        if (count <= 0)
            break;
        done += (size_t)count;
    }
    return done;
}
#else
static gzFile archive_file;

static void open_archive(int file)
{
    archive_file = gzdopen(file, "rb");
    if (archive_file == NULL)
        fail("cannot read the archive");
    gzbuffer(archive_file, READ_BYTES);
}

static size_t read_archive(void *buffer, size_t size)
{
    int count = gzread(archive_file, buffer, (unsigned)size);

    return count < 0 ? 0 : (size_t)count;
}
#endif

static void read_exactly(void *buffer, size_t size)
{
    if (read_archive(buffer, size) != size) {
        errno = EIO;
        fail("the archive is truncated or damaged");
    }
}

static void check_name(const char *name)
{
    if (name[0] == '/' || strstr(name, "..") != NULL) {
        errno = EINVAL;
        fail("archive member %s leaves the directory", name);
    }
}

static void write_file(int root, const char *name, mode_t mode, size_t size)
{
    static char buffer[READ_BYTES];
    int file = openat(root, name, O_WRONLY | O_CREAT | O_EXCL, mode);

    if (file < 0)
        fail("cannot create %s", name);
    for (size_t left = size; left > 0;) {
        size_t part = left < READ_BYTES ? left : READ_BYTES;
        read_exactly(buffer, part);
        for (size_t done = 0; done < part;) {
            ssize_t count = write(file, buffer + done, part - done);
            if (count < 0)
                fail("cannot write %s", name);
            done += (size_t)count;
        }
        left -= part;
    }
    if (close(file) != 0)
        fail("cannot write %s", name);
    if (size % BLOCK != 0)
        read_exactly(buffer, BLOCK - size % BLOCK);
}

static int unpack_member(int root)
{
    struct header header;
    char name[sizeof header.prefix + sizeof header.name + 2];
    char link[sizeof header.link + 1];
    mode_t mode;

    read_exactly(&header, sizeof header);
    if (header.name[0] == '\0')
        return 0;
    if (header.prefix[0] != '\0')
        snprintf(name, sizeof name, "%.155s/%.100s", header.prefix,
                 header.name);
    else
        snprintf(name, sizeof name, "%.100s", header.name);
    check_name(name);
    mode = (mode_t)strtoul(header.mode, NULL, 8) & 0755;
    if (header.type == '5') {
        if (mkdirat(root, name, 0700) != 0 && errno != EEXIST)
            fail("cannot create %s", name);
    } else if (header.type == '2') {
        snprintf(link, sizeof link, "%.100s", header.link);
        if (symlinkat(link, root, name) != 0)
            fail("cannot link %s", name);
    } else {
        write_file(root, name, mode, strtoul(header.size, NULL, 8));
    }
    return 1;
}

static void unpack(int file, const char *directory)
{
    int root;

    if (snprintf(partial, sizeof partial, "%s.XXXXXX", directory)
            >= (int)sizeof partial) {
        errno = ENAMETOOLONG;
        fail("%s", directory);
    }
    if (mkdtemp(partial) == NULL) {
        partial[0] = '\0';
        fail("cannot create a directory beside %s", directory);
    }
    root = open(partial, O_RDONLY | O_DIRECTORY);
    if (root < 0)
        fail("cannot open %s", partial);
    open_archive(file);
    while (unpack_member(root))
        ;
    close(root);
    /* Another process may have unpacked the same archive meanwhile. */
    if (rename(partial, directory) != 0) {
        if (errno != ENOTEMPTY && errno != EEXIST)
            fail("cannot rename %s", partial);
        remove_partial();
    }
    partial[0] = '\0';
}

/* A directory that others can write could hold any program. */
static int is_unpacked(const char *directory)
{
    struct stat status;

    if (lstat(directory, &status) != 0)
        return 0;
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid()
            || (status.st_mode & (S_IWGRP | S_IWOTH)) != 0) {
        errno = EPERM;
        fail("%s does not belong to this user alone", directory);
    }
    return 1;
}

static void find_archive(int file, char *digest)
{
    char trailer[TRAILER_BYTES + 1] = "";
    off_t end = lseek(file, -TRAILER_BYTES, SEEK_END);

    if (end < 0 || read(file, trailer, TRAILER_BYTES) != TRAILER_BYTES)
        fail("cannot read the trailer");
    if (memcmp(trailer, MAGIC, strlen(MAGIC)) != 0) {
        errno = EINVAL;
        fail("no archive is attached");
    }
    memcpy(digest, trailer + strlen(MAGIC), DIGEST_CHARACTERS);
    digest[DIGEST_CHARACTERS] = '\0';
    end -= strtoll(trailer + strlen(MAGIC) + DIGEST_CHARACTERS, NULL, 10);
    if (lseek(file, end, SEEK_SET) != end)
        fail("cannot find the archive");
}

int main(int count, char **arguments)
{
    char digest[DIGEST_CHARACTERS + 1];
    char directory[PATH_MAX - 32];
    char program[PATH_MAX];
    const char *base = getenv(DIRECTORY_VARIABLE);
    int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);

    (void)count;
    if (file < 0)
        fail("cannot open the binary");
    find_archive(file, digest);
    if (base == NULL || base[0] == '\0')
        base = DEFAULT_DIRECTORY;
    if (snprintf(directory, sizeof directory, "%s/" PROGRAM "-%s", base, digest)
            >= (int)sizeof directory) {
        errno = ENAMETOOLONG;
        fail("%s", base);
    }
    if (!is_unpacked(directory))
        unpack(file, directory);
    snprintf(program, sizeof program, "%s/" PROGRAM, directory);
    execv(program, arguments);
    fail("cannot run %s", program);
}
